"""Job scheduling on an entry host: follows the log and may own the schedule."""
