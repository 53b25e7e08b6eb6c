"""Faults of a settings file, reported together."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class SettingsFault:
    """One fault and how to correct it.

    Attributes:
        path: Key path, such as `peers[1].address`; "" for the whole file.
    """

    path: str
    problem: str
    remedy: str

    def __str__(self) -> str:
        """Return one line for the operator."""
        where = self.path or "the file"
        return f"{where}: {self.problem}; {self.remedy}"


@dataclass(frozen=True, slots=True)
class SettingsErrors:
    """Every fault of one file, in the order of the file's keys."""

    file: str
    faults: tuple[SettingsFault, ...]

    def __str__(self) -> str:
        """Return one line per fault."""
        lines = [f"{self.file}: {fault}" for fault in self.faults]
        return "\n".join(lines)
