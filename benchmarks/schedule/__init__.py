"""Processor time of the scheduler's decisions."""
