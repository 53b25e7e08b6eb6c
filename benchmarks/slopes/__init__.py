"""Costs in one process as a function of the fleet's size."""
