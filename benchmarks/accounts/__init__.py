"""What client accounts cost a host, and what long lines cost the schedule's owner."""
