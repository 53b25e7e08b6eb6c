"""Policies of the request path compared in virtual time, from a seed."""
