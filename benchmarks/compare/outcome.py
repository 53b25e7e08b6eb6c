"""What a day of the users' bench printed, as typed values."""

from __future__ import annotations

import re

import msgspec

NUMBER = r"(-?\d+(?:\.\d+)?)"
SUMMARY = re.compile(
    rf"^(\S+) +\d+/\d+ +{NUMBER} +{NUMBER} +{NUMBER} +{NUMBER} +{NUMBER} +(.*)$",
    re.MULTILINE,
)
PARTS = re.compile(
    rf"^worth {NUMBER} = whole day {NUMBER} .*worst windows {NUMBER} .*"
    rf"worst class {NUMBER} .*worst zone {NUMBER}",
    re.MULTILINE,
)
PRICE = re.compile(r"^  -+(\d+\.\d+)  -?\d+(?:\.\d+)? (.+)$", re.MULTILINE)
RULE_BROKEN = re.compile(r"\bBROKEN\b")


class NotPlayed(Exception):
    """A day's output has no result: the message holds its last lines."""


class Outcome(msgspec.Struct, frozen=True):
    """A day's result; shares and worth are parts of 1.

    Attributes:
        worth: Credit less prices.
        served: Share of the requests that were served.
        refused: Share that was refused.
        failed: Share that failed.
        whole_day: Credit of the whole day.
        windows: Credit of its two worst windows.
        worst_class: Credit of its worst kind of request.
        worst_zone: Credit of its worst availability zone.
        prices: What was taken off, by its name in the report.
        broken: Whether a rule was broken.
        remark: The bench's last word on the day.
    """

    worth: float
    served: float
    refused: float
    failed: float
    whole_day: float
    windows: float
    worst_class: float
    worst_zone: float
    prices: dict[str, float]
    broken: bool
    remark: str

    @classmethod
    def from_output(cls, text: str) -> Outcome:
        """Read a day's output.

        Raises:
            NotPlayed: It holds no result.
        """
        summary = SUMMARY.search(text)
        parts = PARTS.search(text)
        if summary is None or parts is None:
            raise NotPlayed("\n".join(text.splitlines()[-3:]))
        _, _, worth, served, refused, failed, remark = summary.groups()
        _, whole_day, windows, worst_class, worst_zone = map(float, parts.groups())
        prices = {name: float(price) for price, name in PRICE.findall(text)}
        return cls(
            worth=float(worth),
            served=float(served),
            refused=float(refused),
            failed=float(failed),
            whole_day=whole_day,
            windows=windows,
            worst_class=worst_class,
            worst_zone=worst_zone,
            prices=prices,
            broken=RULE_BROKEN.search(summary.group(0)) is not None,
            remark=remark.strip(),
        )

    @property
    def priced(self) -> float:
        """Return the sum of what was taken off."""
        return sum(self.prices.values())
