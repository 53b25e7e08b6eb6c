"""Pools whose demand comes by turns, in virtual time: what is served, at what price."""
