"""Benchmark of job scheduling: placement policies and learned job sizes."""
