"""Fixtures that every test folder shares."""

from __future__ import annotations

import pytest


@pytest.fixture
def anyio_backend() -> str:
    """Run the anyio tests on asyncio, as the daemon does."""
    return "asyncio"
