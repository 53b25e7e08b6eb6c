"""Processor time of the schedule owner by component, with real sockets."""
