"""Decisions on the fleet: what to propose next, given the shared state."""
