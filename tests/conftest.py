"""Fixtures that every test folder shares."""

from __future__ import annotations

from collections.abc import AsyncIterator, Callable
from contextlib import ExitStack, closing
from typing import Any

import pytest


@pytest.fixture
def anyio_backend() -> str:
    """Run the anyio tests on asyncio, as the daemon does."""
    return "asyncio"


@pytest.fixture
async def closed_after() -> AsyncIterator[Callable[[Any], Any]]:
    """Return a function that closes what it is given when the test ends."""
    with ExitStack() as stack:
        yield lambda one: stack.enter_context(closing(one))
