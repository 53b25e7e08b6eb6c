"""Cost of a takeover of one job with many running tasks."""
