"""Benchmarks, each of which prints its measurements; random input is seeded."""
