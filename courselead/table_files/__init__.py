"""Files of the operators' table: JSON and CSV in and out, grids and diffs."""
