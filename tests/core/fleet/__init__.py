"""Tests of the shared fleet state."""
