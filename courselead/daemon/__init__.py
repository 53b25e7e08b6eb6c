"""The entry host daemon: drives the reducer and performs its effects."""
