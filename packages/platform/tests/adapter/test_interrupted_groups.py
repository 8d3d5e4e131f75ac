"""Groups of writes to the store of which one call fails."""

from __future__ import annotations

import asyncio
import json
from collections import deque
from typing import TYPE_CHECKING

import pytest
from returns.pipeline import is_successful

from medlarspring_adapters.clock import ManualClock
from medlarspring_adapters.group_commit import MAX_CALLS_AT_ONCE, GroupCommit
from medlarspring_adapters.store import (
    Expect,
    LeaseGone,
    LeaseId,
    Put,
    StoreOutcomeUnknown,
    StoreUnavailable,
    Transaction,
)
from medlarspring_bench.platform_world.fault_state import WriteFault
from medlarspring_tables import Revision

if TYPE_CHECKING:
    from medlarspring_adapters.store import CommitResult

    from .conftest import Platform

GROUP_SIZE = 4
KEYS = [f"inbox/{number}" for number in range(GROUP_SIZE)]


def create(key: str) -> Transaction:
    return Transaction((Expect(key, Revision(0)),), (Put(key, b"v"),), (key,))


async def commit_as_group(platform: Platform) -> dict[str, CommitResult]:
    """Commit the keys in one group, behind calls that use up all call slots."""
    commits = GroupCommit(platform.store, ManualClock(), platform.log, lambda: 0.0)
    earlier = [create(f"earlier/{number}") for number in range(MAX_CALLS_AT_ONCE)]
    results = await asyncio.gather(
        *(commits.commit(each) for each in [*earlier, *map(create, KEYS)])
    )
    return dict(zip(KEYS, results[MAX_CALLS_AT_ONCE:], strict=True))


async def is_stored(platform: Platform, key: str) -> bool:
    return (await platform.store.read(key)).unwrap() is not None


@pytest.mark.parametrize("fault", WriteFault)
@pytest.mark.parametrize("known", range(GROUP_SIZE))
@pytest.mark.parametrize("failed_call", range(GROUP_SIZE + 1))
async def test_members_of_an_interrupted_group_keep_their_own_results(
    platform: Platform, failed_call: int, known: int, fault: WriteFault
):
    """Guards against a job that is stored and runs after it was refused.

    One key of the group exists, so that each member is committed by a call of its own,
    and one of these calls fails after others were carried out.
    """
    await platform.store.commit(create(KEYS[known]))
    faults = platform.fault_state.write_faults_by_prefix
    faults["inbox/"] = deque([*[None] * failed_call, fault])
    result_by_key = await commit_as_group(platform)
    for number, (key, result) in enumerate(result_by_key.items()):
        if is_successful(result):
            assert await is_stored(platform, key)
            assert result.unwrap().succeeded == (number != known)
        elif isinstance(result.failure(), StoreUnavailable):
            assert number == known or not await is_stored(platform, key)
        else:
            assert isinstance(result.failure(), StoreOutcomeUnknown)
            assert fault is not WriteFault.REFUSED
            assert failed_call in (0, number + 1)


async def test_interrupted_group_is_logged_with_the_results_of_its_members(
    platform: Platform,
):
    await platform.store.commit(create(KEYS[0]))
    faults = platform.fault_state.write_faults_by_prefix
    faults["inbox/"] = deque([None, None, None, WriteFault.REFUSED])
    await commit_as_group(platform)
    (line,) = platform.log_lines.getvalue().splitlines()
    logged = json.loads(line)
    assert logged["name_of_event"] == "store_group_interrupted"
    assert logged["answered"] == KEYS[:2]
    assert list(logged["fault_by_key"]) == KEYS[2:]


async def test_expired_lease_fails_only_its_own_transaction(platform: Platform):
    """Guards against live keys that are refused since one in the group has expired."""
    expired = Transaction((), (Put("a/expired", b"v", LeaseId(99)),))
    results = await platform.store.commit_each([expired, create("a/live")])
    assert isinstance(results[0].failure(), LeaseGone)
    assert results[1].unwrap().succeeded
