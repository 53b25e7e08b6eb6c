"""Scheduling of long jobs: learned sizes, placement, leases and quarantine."""
