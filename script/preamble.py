"""Preamble of the shipped file: restricts imports to the file's own libraries.

Otherwise libraries of the machine's Python could be imported. One of them, which is
imported if present, starts a process to find its C library. The loader of the file
defines `site_packages`.
"""

import sys
from pathlib import Path

FOREIGN_DIRECTORIES = ("site-packages", "dist-packages")

own_directory = str(site_packages)  # noqa: F821
kept = []
for entry in sys.path:
    if entry == own_directory or Path(entry).name not in FOREIGN_DIRECTORIES:
        kept.append(entry)
sys.path[:] = kept
