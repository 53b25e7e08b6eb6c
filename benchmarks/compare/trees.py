"""Copies of a source tree with constants replaced."""

from __future__ import annotations

import re
import shutil
from dataclasses import dataclass
from pathlib import Path

IGNORED = shutil.ignore_patterns(
    ".git", ".venv", "journal", "build", "__pycache__", ".hypothesis"
)


class UnknownConstantError(Exception):
    """A constant to replace is malformed or not defined in its module."""


@dataclass(frozen=True, slots=True)
class Replacement:
    """A constant of a module and its replacement value."""

    module: str
    name: str
    value: str

    @classmethod
    def from_text(cls, text: str) -> Replacement:
        """Parse `package.module:NAME=VALUE`.

        Raises:
            UnknownConstantError: The text does not have this form.
        """
        matched = re.fullmatch(r"([\w.]+):(\w+)=(.+)", text)
        if matched is None:
            raise UnknownConstantError(f"{text!r}: write package.module:NAME=VALUE")
        return cls(*matched.groups())

    def apply(self, tree: Path) -> None:
        """Replace the constant's value in a tree.

        Raises:
            UnknownConstantError: The module does not have exactly one such line.
        """
        path = tree / (self.module.replace(".", "/") + ".py")
        line = re.compile(rf"^{self.name} = .+$", re.MULTILINE)
        text, count = line.subn(f"{self.name} = {self.value}", path.read_text())
        if count != 1:
            raise UnknownConstantError(f"{self.module} has no line {self.name} = ...")
        path.write_text(text)


def copy_with(tree: Path, target: Path, replacements: list[Replacement]) -> Path:
    """Copy a tree, replace constants in the copy and return its path."""
    shutil.rmtree(target, ignore_errors=True)
    shutil.copytree(tree, target, ignore=IGNORED)
    for replacement in replacements:
        replacement.apply(target)
    return target
