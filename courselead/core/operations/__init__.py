"""Fleet operations: inventory, assignment, moves, maintenance and worker health."""
