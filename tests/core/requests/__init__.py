"""Tests of the local request path."""
