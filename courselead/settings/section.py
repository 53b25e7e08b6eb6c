"""One JSON object being checked: reads keys, gathers faults."""

from __future__ import annotations

import difflib
import ipaddress
import re
from collections.abc import Sequence
from urllib.parse import urlsplit

from courselead.settings.const import MAX_PORT, NAME_PATTERN
from courselead.settings.errors import SettingsFault
from courselead.settings.model import Address

_MISSING = object()
_PLACEHOLDER = Address("0.0.0.0", 0)


class Section:
    """Reads the keys of one object; each fault goes to a shared list.

    A reader returns a placeholder of the right type after a fault, so that
    the check goes on; the placeholders never leave `load`.
    """

    def __init__(self, raw: object, path: str, faults: list[SettingsFault]) -> None:
        """Keep the object; anything but an object is one fault."""
        self._path = path
        self._faults = faults
        self._known: list[str] = []
        self._is_object = isinstance(raw, dict)
        self._raw: dict[str, object] = raw if isinstance(raw, dict) else {}
        if not self._is_object:
            self._report(path, _type_problem(raw), "give a JSON object")

    def fault(self, key: str, problem: str, remedy: str) -> None:
        """Report a fault of a key."""
        self._report(self._at(key), problem, remedy)

    def peek(self, key: str) -> object:
        """Return a raw value without a check."""
        return self._raw.get(key)

    def name(self, key: str) -> str:
        """Read a name of lower-case letters, digits and `._-`."""
        remedy = "give 1 to 64 of a-z, 0-9, '.', '_' and '-', such as 'eh-1'"
        value = self._text(key, remedy)
        if value and not re.fullmatch(NAME_PATTERN, value):
            self.fault(key, f"{value!r} is not a name", remedy)
        return value

    def choice(self, key: str, default: str, choices: Sequence[str]) -> str:
        """Read one of a few words."""
        listed = ", ".join(choices)
        value = self._text(key, f"give one of {listed}", default)
        if value and value not in choices:
            self.fault(key, f"{value!r} is not known", f"give one of {listed}")
        return value

    def integer(self, key: str, default: int, low: int, high: int) -> int:
        """Read a whole number within bounds."""
        value = self._get(key)
        remedy = f"give a whole number from {low} to {high}"
        if value is _MISSING:
            return default
        if not isinstance(value, int) or isinstance(value, bool):
            self.fault(key, _type_problem(value), remedy)
            return default
        if not low <= value <= high:
            self.fault(key, f"{value} is out of bounds", remedy)
            return default
        return value

    def address(self, key: str) -> Address:
        """Read `ip:port`; a host name is a fault, as it could move."""
        remedy = "give an IP number and a port, such as '127.0.0.1:8080'"
        value = self._text(key, remedy)
        if not value:
            return _PLACEHOLDER
        problem = address_problem(value)
        if problem:
            self.fault(key, problem, remedy)
            return _PLACEHOLDER
        ip, _, port = value.rpartition(":")
        return Address(ip.strip("[]"), int(port))

    def url(self, key: str) -> str:
        """Read `http://ip:port` with nothing behind it."""
        remedy = "give an address such as 'http://127.0.0.1:9000'"
        value = self._text(key, remedy)
        if not value:
            return value
        problem = _url_problem(value)
        if problem:
            self.fault(key, problem, remedy)
        return value.rstrip("/")

    def texts(self, key: str, pattern: str, remedy: str) -> tuple[str, ...]:
        """Read a list of texts that match a pattern, without repeats."""
        values: list[str] = []
        for index, value in enumerate(self._list(key)):
            at = f"{key}[{index}]"
            if not isinstance(value, str):
                self.fault(at, _type_problem(value), remedy)
                continue
            if not re.fullmatch(pattern, value):
                self.fault(at, "the form is wrong", remedy)
                continue
            if value in values:
                self.fault(at, "it is listed twice", "remove one of the two")
                continue
            values.append(value)
        return tuple(values)

    def sections(self, key: str, most: int) -> list[Section]:
        """Read a list of objects."""
        found = self._list(key)
        if len(found) > most:
            self.fault(key, f"more than {most} entries", "remove some")
        made = []
        for index, raw in enumerate(found[:most]):
            path = self._at(f"{key}[{index}]")
            made.append(Section(raw, path, self._faults))
        return made

    def section(self, key: str) -> Section:
        """Read an object that may be absent."""
        value = self._get(key)
        raw = {} if value is _MISSING else value
        return Section(raw, self._at(key), self._faults)

    def close(self) -> None:
        """Report the keys that nobody asked for."""
        for key in self._raw:
            if key in self._known:
                continue
            near = difflib.get_close_matches(key, self._known, n=1)
            remedy = f"did you mean {near[0]!r}?" if near else "remove it"
            self.fault(key, "the key is not known", remedy)

    def _text(self, key: str, remedy: str, default: str | None = None) -> str:
        value = self._get(key)
        if value is _MISSING and default is not None:
            return default
        if value is _MISSING:
            if self._is_object:
                self.fault(key, "the key is missing", remedy)
            return ""
        if not isinstance(value, str):
            self.fault(key, _type_problem(value), remedy)
            return ""
        if not value:
            self.fault(key, "it is empty", remedy)
        return value

    def _list(self, key: str) -> list[object]:
        value = self._get(key)
        if value is _MISSING:
            return []
        if not isinstance(value, list):
            self.fault(key, _type_problem(value), "give a list")
            return []
        return value

    def _get(self, key: str) -> object:
        self._known.append(key)
        return self._raw.get(key, _MISSING)

    def _at(self, key: str) -> str:
        return f"{self._path}.{key}" if self._path else key

    def _report(self, path: str, problem: str, remedy: str) -> None:
        self._faults.append(SettingsFault(path, problem, remedy))


def address_problem(value: str) -> str:
    """Return what is wrong with an `ip:port`, or an empty text."""
    ip, colon, port = value.rpartition(":")
    if not colon:
        return f"{value!r} has no port"
    bare = ip[1:-1] if ip.startswith("[") and ip.endswith("]") else ip
    try:
        number = ipaddress.ip_address(bare)
    except ValueError:
        return f"{ip!r} is not an IP number (host names are not looked up)"
    if number.version == 6 and bare == ip:
        return f"{ip!r} needs brackets, as in '[::1]:8080'"
    if number.version == 4 and bare != ip:
        return f"{ip!r} takes no brackets"
    if not re.fullmatch("[0-9]{1,5}", port) or not 1 <= int(port) <= MAX_PORT:
        return f"{port!r} is not a port from 1 to {MAX_PORT}"
    return ""


def _url_problem(value: str) -> str:
    try:
        parts = urlsplit(value)
    except ValueError:
        return f"{value!r} is not a URL"
    if parts.scheme != "http":
        return f"{value!r} does not start with 'http://'"
    if parts.path not in ("", "/") or parts.query or parts.fragment:
        return f"{value!r} has something behind the port"
    return address_problem(parts.netloc)


def _type_problem(value: object) -> str:
    names = {
        "dict": "an object",
        "list": "a list",
        "str": "a text",
        "bool": "true or false",
        "int": "a number",
        "float": "a number with a fraction",
        "NoneType": "null",
    }
    kind = type(value).__name__
    shown = names.get(kind, kind)
    return f"it is {shown}"
