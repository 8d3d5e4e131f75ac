from __future__ import annotations

from typing import TYPE_CHECKING

import aiohttp
import pytest

from medlarspring_bench.processes import Processes

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Iterator


@pytest.fixture
def processes() -> Iterator[Processes]:
    with Processes() as started:
        yield started


@pytest.fixture
async def http() -> AsyncIterator[aiohttp.ClientSession]:
    timeout = aiohttp.ClientTimeout(total=5)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        yield session
