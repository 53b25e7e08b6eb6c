"""Stand-ins for the users' platform, with the standard library only."""
