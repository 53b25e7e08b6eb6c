"""Creates the clients of the platform's services from a process's settings."""

from __future__ import annotations

import os
from pathlib import Path

from returns.result import Result

from courselead.daemon.scheduling.ports import Platform
from courselead.platform import const
from courselead.platform.cloud import HttpAdvice, HttpCloud
from courselead.platform.decode import RecordDecoder
from courselead.platform.minions import HttpMinionLink
from courselead.platform.settings import NodeSettings
from courselead.platform.store import StoreTopic, store_pool

DEFAULT_SETTINGS = "/etc/courselead/node.toml"


def load_settings() -> Result[NodeSettings, str]:
    """Read the settings file; the platform sets its path in the environment."""
    return NodeSettings.from_file(
        Path(os.environ.get(const.ENV_SETTINGS, DEFAULT_SETTINGS))
    )


def make_platform(settings: NodeSettings) -> Platform:
    """Return all clients of the platform's services that the daemon uses."""
    pool = store_pool(settings.platform.address)
    return Platform(
        jobs=StoreTopic(pool, const.TOPIC_JOBS),
        claims=StoreTopic(pool, const.TOPIC_CLAIMS),
        starts=StoreTopic(pool, const.TOPIC_STARTS),
        directions=StoreTopic(pool, const.TOPIC_OPERATOR),
        minions=StoreTopic(pool, const.TOPIC_SERVERS),
        status=StoreTopic(pool, const.TOPIC_STATUS),
        advice=HttpAdvice(settings.advice),
        cloud=HttpCloud(settings.cloud_api.address, settings.node),
        decode=RecordDecoder(settings.has_accounts),
        link=HttpMinionLink,
    )
