"""Virtual-time benchmark of the planner over the real fold of the log."""
