"""Tests of the lean HTTP client."""
