"""Pure decisions: state, events and effects; no I/O, clock or randomness."""
