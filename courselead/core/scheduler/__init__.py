"""Scheduling of jobs that are graphs of steps, on the minions of pools."""
