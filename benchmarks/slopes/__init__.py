"""Costs in one process against the size of what they grow with."""
