"""Compares two source trees, or changed constants, on days of the users' bench."""
