from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
from pytest_bdd import parsers, scenarios, then

from medlarspring_bench.cluster import ClusterOptions
from medlarspring_bench.history import AttemptOutcome
from medlarspring_bench.story import is_undecided

if TYPE_CHECKING:
    from medlarspring_bench.story import Story

scenarios("features/zone_cut.feature")


@pytest.fixture(scope="module")
def cluster_options() -> ClusterOptions:
    return ClusterOptions(upstream_processes=1, lag_seconds=1.0, linked=True)


@then(
    parsers.parse(
        "{count:d} reads through daemon {number:d} are answered"
        " within {seconds:g} seconds each"
    )
)
def reads_answered(story: Story, count: int, number: int, seconds: float) -> None:
    for index in range(count):
        caller_request = story.create_call_spec("read", f"read-{number}-{index}")
        caller_request.patience_seconds = 0.0
        call = story.call(caller_request, number).result(10)
        attempt = call.attempts[0]
        assert attempt.outcome is AttemptOutcome.ANSWERED, attempt
        assert attempt.ended_at - attempt.sent_at < seconds, attempt


@then(
    parsers.parse(
        "a payment through daemon {number:d} is refused at once and does not run"
    )
)
def payment_refused(story: Story, number: int) -> None:
    caller_request = story.create_call_spec("payment", "cut")
    caller_request.patience_seconds = 0.0
    call = story.call(caller_request, number).result(20)
    assert is_undecided(call.attempts[-1]), call.attempts
    assert story.count_runs(call.key) == 0
