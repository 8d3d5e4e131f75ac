from __future__ import annotations

from types import SimpleNamespace

import pytest

from medlarspring_daemon.scheduling.unacknowledged_ends import (
    MAX_LISTING_AGE_SECONDS,
    UnacknowledgedEnds,
)

NOW = 1_000.0
BORN_MS = 1_774_442_565_332


def create_ends() -> UnacknowledgedEnds:
    ends = UnacknowledgedEnds(BORN_MS)
    ends.record_listing(NOW)
    ends.add(1, None)
    ends.add(2, SimpleNamespace(version=3, written_version=2))  # type: ignore[arg-type]
    ends.add(3, None)
    return ends


def test_ends_are_recorded_up_to_the_first_whose_record_is_not_written():
    ends = create_ends()
    assert ends.find_last_recorded() == 1
    ends.drop(1)
    assert ends.find_last_recorded() == 0


@pytest.mark.parametrize(
    ("age", "acknowledged"), [(0.0, 1), (MAX_LISTING_AGE_SECONDS * 0.9, 1), (0.1, 0)]
)
def test_end_is_acknowledged_only_after_a_recent_listing(age: float, acknowledged: int):
    """
    Guards against an acknowledgement sent to a new incarnation. The worker restarts
    between its listing and the acknowledgement, while this process is paused. The new
    incarnation would forget its first ends before the controller has read them.
    """
    assert create_ends().find_acknowledgeable(NOW + age) == acknowledged


def test_end_is_not_acknowledged_after_an_unanswered_call():
    ends = create_ends()
    ends.record_unanswered_call()
    assert ends.find_acknowledgeable(NOW) == 0
