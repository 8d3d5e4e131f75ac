from __future__ import annotations

import pytest

from medlarspring_daemon.scheduling.unsettled_submissions import (
    UNSETTLED_SECONDS,
    UnsettledSubmissions,
)
from medlarspring_tables import JobId

JOB = JobId("0123456789abcdef")


@pytest.mark.parametrize(
    ("calls", "contained"),
    [
        pytest.param("a", True, id="under way"),
        pytest.param("as", False, id="accepted"),
        pytest.param("aw", False, id="refused"),
        pytest.param("aaw", True, id="refused repeat of an unknown attempt"),
        pytest.param("aaww", False, id="both refused"),
        pytest.param("aas", False, id="repeat accepted"),
    ],
)
def test_job_is_contained_while_a_write_may_be_applied(calls: str, contained: bool):
    """Guards against "not accepted" said while an earlier write may still land."""
    unsettled = UnsettledSubmissions()
    for call in calls:
        if call == "a":
            unsettled.add(JOB, 10.0)
        elif call == "w":
            unsettled.withdraw(JOB)
        else:
            unsettled.settle(JOB)
    assert unsettled.contains(JOB, 11.0) is contained


def test_old_attempts_are_forgotten():
    unsettled = UnsettledSubmissions()
    unsettled.add(JOB, 10.0)
    late = 10.0 + UNSETTLED_SECONDS
    assert not unsettled.contains(JOB, late)
    unsettled.add(JOB, late)
    unsettled.withdraw(JOB)
    assert not unsettled.contains(JOB, late)
