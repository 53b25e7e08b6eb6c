"""A process that may open no more files."""

import contextlib
import resource
import socket


@contextlib.contextmanager
def no_free_files():
    """Take from this process the right to open any more files."""
    limits = resource.getrlimit(resource.RLIMIT_NOFILE)
    with socket.socket() as probe:
        lowest_free = probe.fileno()
    resource.setrlimit(resource.RLIMIT_NOFILE, (lowest_free, limits[1]))
    try:
        yield
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, limits)
