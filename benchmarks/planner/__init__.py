"""Virtual-time benchmark of the planner with the fold of the log from the core."""
