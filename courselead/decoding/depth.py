"""Limit of the nesting of values that have no type of their own."""

from __future__ import annotations

MAX_DEPTH = 200
"""Maximum depth of nested lists and dictionaries.

Python's recursion limit applies to the whole stack. A value that could just be decoded
might fail where the stack is deeper, such as when it is encoded again.
"""


def is_too_deep(value: object) -> bool:
    """Return whether lists and dictionaries are nested beyond `MAX_DEPTH`."""
    level = [value]
    for _ in range(MAX_DEPTH + 1):
        children: list[object] = []
        for parent in level:
            if isinstance(parent, dict):
                children.extend(parent.values())
            elif isinstance(parent, list):
                children.extend(parent)
        if not children:
            return False
        level = children
    return True
