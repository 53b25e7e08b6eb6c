"""The users' platform: translation between its protocol and the product's types.

Nothing outside this folder knows the platform's names.
"""
