"""Seeded virtual-time comparison of the routing policies for requests."""
