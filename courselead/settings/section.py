"""Reads and checks the keys of one JSON object of the settings file."""

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
    """Reads the keys of one object and adds each fault to a shared list.

    After a fault a reader returns a placeholder of the right type, so that the rest of
    the file is checked as well. `load` returns no settings that contain placeholders.
    """

    def __init__(self, raw: object, path: str, faults: list[SettingsFault]) -> None:
        """Store the object; a value of another type is reported as a fault."""
        self._path = path
        self._faults = faults
        self._keys_read: list[str] = []
        self._is_object = isinstance(raw, dict)
        self._raw: dict[str, object] = raw if isinstance(raw, dict) else {}
        if not self._is_object:
            self._append_fault(path, _type_problem(raw), "give a JSON object")

    def add_fault(self, key: str, problem: str, remedy: str) -> None:
        """Add a fault of a key."""
        self._append_fault(self._key_path(key), problem, remedy)

    def raw_value(self, key: str) -> object:
        """Return the value of a key without a check."""
        return self._raw.get(key)

    def name(self, key: str) -> str:
        """Read a name of lower-case letters, digits and `._-`."""
        remedy = "give 1 to 64 of a-z, 0-9, '.', '_' and '-', such as 'eh-1'"
        value = self._string(key, remedy)
        if value and not re.fullmatch(NAME_PATTERN, value):
            self.add_fault(key, f"{value!r} is not a name", remedy)
        return value

    def choice(self, key: str, default: str, choices: Sequence[str]) -> str:
        """Read a string that has to be one of the choices."""
        listed = ", ".join(choices)
        value = self._string(key, f"give one of {listed}", default)
        if value and value not in choices:
            self.add_fault(key, f"{value!r} is not known", f"give one of {listed}")
        return value

    def integer(self, key: str, default: int, low: int, high: int) -> int:
        """Read a whole number within bounds."""
        value = self._get(key)
        remedy = f"give a whole number from {low} to {high}"
        if value is _MISSING:
            return default
        if not isinstance(value, int) or isinstance(value, bool):
            self.add_fault(key, _type_problem(value), remedy)
            return default
        if not low <= value <= high:
            self.add_fault(key, f"{value} is out of bounds", remedy)
            return default
        return value

    def address(self, key: str) -> Address:
        """Read `ip:port`; a host name is a fault, as its address can change."""
        remedy = "give an IP address and a port, such as '127.0.0.1:8080'"
        value = self._string(key, remedy)
        if not value:
            return _PLACEHOLDER
        problem = _address_problem(value)
        if problem:
            self.add_fault(key, problem, remedy)
            return _PLACEHOLDER
        ip, _, port = value.rpartition(":")
        return Address(ip.strip("[]"), int(port))

    def url(self, key: str) -> str:
        """Read `http://ip:port`, without a path, query or fragment."""
        remedy = "give an address such as 'http://127.0.0.1:9000'"
        value = self._string(key, remedy)
        if not value:
            return value
        problem = _url_problem(value)
        if problem:
            self.add_fault(key, problem, remedy)
        return value.rstrip("/")

    def strings(self, key: str, pattern: str, remedy: str) -> tuple[str, ...]:
        """Read a list of distinct strings that match a pattern."""
        values: list[str] = []
        for index, value in enumerate(self._list(key)):
            entry_key = f"{key}[{index}]"
            if not isinstance(value, str):
                self.add_fault(entry_key, _type_problem(value), remedy)
                continue
            if not re.fullmatch(pattern, value):
                self.add_fault(entry_key, "its format is wrong", remedy)
                continue
            if value in values:
                self.add_fault(entry_key, "it is listed twice", "remove one of the two")
                continue
            values.append(value)
        return tuple(values)

    def sections(self, key: str, max_entries: int) -> list[Section]:
        """Read a list of objects."""
        found = self._list(key)
        if len(found) > max_entries:
            self.add_fault(key, f"more than {max_entries} entries", "remove some")
        sections = []
        for index, raw in enumerate(found[:max_entries]):
            path = self._key_path(f"{key}[{index}]")
            sections.append(Section(raw, path, self._faults))
        return sections

    def section(self, key: str) -> Section:
        """Read an object that may be absent."""
        value = self._get(key)
        raw = {} if value is _MISSING else value
        return Section(raw, self._key_path(key), self._faults)

    def report_unknown_keys(self) -> None:
        """Add a fault for each key that was not read."""
        for key in self._raw:
            if key in self._keys_read:
                continue
            similar = difflib.get_close_matches(key, self._keys_read, n=1)
            remedy = f"did you mean {similar[0]!r}?" if similar else "remove it"
            self.add_fault(key, "the key is not known", remedy)

    def _string(self, key: str, remedy: str, default: str | None = None) -> str:
        value = self._get(key)
        if value is _MISSING and default is not None:
            return default
        if value is _MISSING:
            if self._is_object:
                self.add_fault(key, "the key is missing", remedy)
            return ""
        if not isinstance(value, str):
            self.add_fault(key, _type_problem(value), remedy)
            return ""
        if not value:
            self.add_fault(key, "it is empty", remedy)
        return value

    def _list(self, key: str) -> list[object]:
        value = self._get(key)
        if value is _MISSING:
            return []
        if not isinstance(value, list):
            self.add_fault(key, _type_problem(value), "give a list")
            return []
        return value

    def _get(self, key: str) -> object:
        self._keys_read.append(key)
        return self._raw.get(key, _MISSING)

    def _key_path(self, key: str) -> str:
        return f"{self._path}.{key}" if self._path else key

    def _append_fault(self, path: str, problem: str, remedy: str) -> None:
        self._faults.append(SettingsFault(path, problem, remedy))


def _address_problem(value: str) -> str:
    """Return what is wrong with an `ip:port`, "" if nothing is."""
    ip, colon, port = value.rpartition(":")
    if not colon:
        return f"{value!r} has no port"
    bare = ip[1:-1] if ip.startswith("[") and ip.endswith("]") else ip
    try:
        number = ipaddress.ip_address(bare)
    except ValueError:
        return f"{ip!r} is not an IP address (host names are not resolved)"
    if number.version == 6 and bare == ip:
        return f"{ip!r} needs brackets, as in '[::1]:8080'"
    if number.version == 4 and bare != ip:
        return f"{ip!r} is IPv4 and takes no brackets"
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
        return f"{value!r} has a path, query or fragment"
    return _address_problem(parts.netloc)


def _type_problem(value: object) -> str:
    names = {
        "dict": "an object",
        "list": "a list",
        "str": "a string",
        "bool": "true or false",
        "int": "a number",
        "float": "a number with a fraction",
        "NoneType": "null",
    }
    kind = type(value).__name__
    shown = names.get(kind, kind)
    return f"it is {shown}"
