"""Compares two trees, or a tree with constants replaced, by days of a deployment."""
