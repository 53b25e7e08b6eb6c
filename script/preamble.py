"""Runs in the shipped file before courselead: only its own libraries are seen.

A library of the machine's Python could be picked up otherwise. One that is
imported where it is present starts a process to find its C library.
`site_packages` is set by the file's loader.
"""

import sys
from pathlib import Path

FOREIGN = ("site-packages", "dist-packages")

own = str(site_packages)  # noqa: F821
kept = []
for entry in sys.path:
    if entry == own or Path(entry).name not in FOREIGN:
        kept.append(entry)
sys.path[:] = kept
