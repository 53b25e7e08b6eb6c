"""Adapter for the users' platform: maps its protocol to courselead's types.

Names of the platform's protocol are used in this package only.
"""
