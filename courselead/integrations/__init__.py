"""Clients and servers for external systems; `courselead.core` imports none of them."""
