"""Scheduler for jobs, which are graphs of steps, on the minions of worker pools."""
