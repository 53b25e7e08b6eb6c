"""Where the processor time of the schedule's owner goes, with real sockets."""
