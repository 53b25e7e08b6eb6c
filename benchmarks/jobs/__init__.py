"""Bench of the decisions on long jobs: placement and learned sizes."""
