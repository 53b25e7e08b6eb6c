"""Benchmark of real processes over the loopback interface."""
