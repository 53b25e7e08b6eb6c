"""Reads and writes the operators' table as JSON and CSV; grids and differences."""
