"""Settings of one entry host, read from a JSON file."""

from courselead.settings.errors import SettingsErrors, SettingsFault
from courselead.settings.model import (
    Address,
    LimitSettings,
    PeerSettings,
    Settings,
    TimingSettings,
)

__all__ = [
    "Address",
    "LimitSettings",
    "PeerSettings",
    "Settings",
    "SettingsErrors",
    "SettingsFault",
    "TimingSettings",
]
