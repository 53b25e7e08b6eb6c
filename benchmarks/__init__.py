"""Benchmarks: each prints what it measured, from a seed."""
