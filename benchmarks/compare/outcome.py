"""Parses the result of a day from the output of the users' bench."""

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


class NoResultError(Exception):
    """The output of a day holds no result; the message holds its last lines."""


class Outcome(msgspec.Struct, frozen=True):
    """The result of a day; shares and credits are fractions of 1.

    Attributes:
        worth: Credit minus prices.
        served: Share of requests that were served.
        refused: Share of requests that were refused.
        failed: Share of requests that failed.
        whole_day: Credit of the whole day.
        windows: Credit of its two worst windows.
        worst_class: Credit of its worst kind of request.
        worst_zone: Credit of its worst availability zone.
        prices: Deductions by their name in the report.
        broken: Whether a rule was broken.
        remark: Last column of the bench's summary line.
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
        """Parse the output of a day.

        Raises:
            NoResultError: The output holds no result.
        """
        summary = SUMMARY.search(text)
        parts = PARTS.search(text)
        if summary is None or parts is None:
            raise NoResultError("\n".join(text.splitlines()[-3:]))
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
        """Return the sum of the deductions."""
        return sum(self.prices.values())
