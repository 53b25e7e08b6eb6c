"""Cost of client accounts to a host, and of long queues to the schedule owner."""
