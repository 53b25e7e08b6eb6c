"""Replicated fleet state, built from the log and identical on every entry host."""
