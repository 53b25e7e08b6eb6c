"""The entry host as a scheduler of jobs: follows the log, owns the schedule."""
