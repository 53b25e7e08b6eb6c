"""Drawn days for the users' bench: any trouble, at any moment, more than once."""
