"""Shared fleet state, folded from the log; identical on every entry host."""
