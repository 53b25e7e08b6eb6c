"""Tests of the decisions on workers."""
