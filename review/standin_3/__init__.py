"""Stand-ins for the scripts of the third review: a small platform in one process."""
