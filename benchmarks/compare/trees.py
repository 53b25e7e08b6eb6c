"""Copies of a tree with named constants replaced."""

from __future__ import annotations

import re
import shutil
from dataclasses import dataclass
from pathlib import Path

LEFT_OUT = shutil.ignore_patterns(
    ".git", ".venv", "journal", "build", "__pycache__", ".hypothesis"
)


class UnknownConstant(Exception):
    """A constant to be replaced does not stand in its module."""


@dataclass(frozen=True, slots=True)
class Replacement:
    """A constant of a module and what stands in its place."""

    module: str
    name: str
    value: str

    @classmethod
    def from_text(cls, text: str) -> Replacement:
        """Read `package.module:NAME=VALUE`.

        Raises:
            UnknownConstant: The text has another form.
        """
        matched = re.fullmatch(r"([\w.]+):(\w+)=(.+)", text)
        if matched is None:
            raise UnknownConstant(f"{text!r}: write package.module:NAME=VALUE")
        return cls(*matched.groups())

    def apply(self, tree: Path) -> None:
        """Replace the constant's value in a tree.

        Raises:
            UnknownConstant: The module has no such line.
        """
        path = tree / (self.module.replace(".", "/") + ".py")
        line = re.compile(rf"^{self.name} = .+$", re.MULTILINE)
        text, count = line.subn(f"{self.name} = {self.value}", path.read_text())
        if count != 1:
            raise UnknownConstant(f"{self.module} has no line {self.name} = ...")
        path.write_text(text)


def copy_with(tree: Path, target: Path, replacements: list[Replacement]) -> Path:
    """Copy a tree, replace constants in the copy and return its path."""
    shutil.rmtree(target, ignore_errors=True)
    shutil.copytree(tree, target, ignore=LEFT_OUT)
    for replacement in replacements:
        replacement.apply(target)
    return target
