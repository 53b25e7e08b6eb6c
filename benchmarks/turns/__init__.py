"""Pools with demand bursts one after another, in virtual time: service and cost."""
