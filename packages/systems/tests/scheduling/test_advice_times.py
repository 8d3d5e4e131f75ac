from __future__ import annotations

import msgspec
import pytest

from medlarspring_systems.scheduling.advice_needs import AdviceNeed, AdviceRequest
from medlarspring_systems.scheduling.advice_times import AdviceTimes, find_ticket_end
from medlarspring_tables.scheduling import AdvicePolicy, WorkerId

from .conftest import Scene, create_step

POLICY = AdvicePolicy(decide_ms=200, per_worker_ms=50, valid_ms=3_000)
WORKERS = 8
USUAL_SECONDS = 0.6


def create_request(scene: Scene) -> AdviceRequest:
    job = scene.add_job("j", create_step())
    job.queue = msgspec.structs.replace(job.queue, advice=POLICY)
    incarnations = {WorkerId(f"i-{number}"): 0 for number in range(WORKERS)}
    step = job.occurrences_by_index[0][0]
    return AdviceRequest(step, AdviceNeed.START, incarnations)


@pytest.mark.parametrize(
    ("slowness_of_answers", "least", "most"),
    [
        ([], 1.0, 2.0),
        ([1.0] * 5, 1.0, 2.0),
        ([7.0], 7.0, 10.0),
        ([1.0, 1.0, 7.0], 7.0, 10.0),
        ([7.0] + [1.0] * 20, 1.0, 2.0),
    ],
)
def test_patience_follows_how_slow_the_adviser_is(
    scene: Scene, slowness_of_answers: list[float], least: float, most: float
):
    """Guards against a second call before a slow adviser could answer the first."""
    request = create_request(scene)
    times = AdviceTimes()
    for slowness in slowness_of_answers:
        times.record_answer(request, USUAL_SECONDS * slowness)
    patience = times.get_patience(request)
    assert USUAL_SECONDS * least < patience
    assert patience < 2 * USUAL_SECONDS * most


@pytest.mark.parametrize(
    ("answered_after", "ends_after"),
    [(0.5, 3.0), (2.0, 3.0), (3.0, 3.75), (6.0, 6.75)],
)
def test_ticket_counts_from_the_call_unless_hardly_any_time_is_left(
    answered_after: float, ends_after: float
):
    """Guards against starts with expired tickets, and none after slow answers."""
    assert find_ticket_end(10.0, 10.0 + answered_after, 3.0) == 10.0 + ends_after
