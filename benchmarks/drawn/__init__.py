"""Randomly generated days for the users' bench, with any fault at any time."""
