"""Fleet operations: assignment, moves, maintenance and worker health."""
