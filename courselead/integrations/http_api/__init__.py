"""The HTTP interface of an entry host, for callers and operators."""
