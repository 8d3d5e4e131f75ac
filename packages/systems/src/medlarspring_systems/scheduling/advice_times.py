"""Answer times of the adviser: when a call is overdue, how long a ticket is used."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from medlarspring_systems.scheduling.advice_needs import AdviceRequest
    from medlarspring_tables import Seconds

DECAY_WEIGHT = 0.3
"""Part of the way down that the slowness goes with each faster answer."""
OVERDUE_FACTOR = 2.0
"""A call is overdue after this many times the time that it should take by now."""
OVERDUE_MARGIN_SECONDS = 0.5
"""Added to that time, for the calls that should take next to none."""
MIN_EXPECTED_SECONDS = 0.1
"""Shortest answer time to compare with, as a policy may tell none."""
MIN_USABLE_FRACTION = 0.25
"""Part of a ticket's validity that always counts from the answer on."""


class AdviceTimes:
    """Learns how much longer the adviser takes than the operator's policy tells."""

    def __init__(self) -> None:
        self._slowness = 1.0

    def get_patience(self, request: AdviceRequest) -> Seconds:
        """Return the time after which a call without an answer is overdue."""
        usual = _expect_seconds(request) * self._slowness
        return OVERDUE_FACTOR * usual + OVERDUE_MARGIN_SECONDS

    def record_answer(self, request: AdviceRequest, took: Seconds) -> None:
        """Record how long an answer took.

        More calls at a slow adviser make all of them slower, so one answer is enough
        to be more patient.
        """
        slowness = max(took / _expect_seconds(request), 1.0)
        decayed = self._slowness + DECAY_WEIGHT * (slowness - self._slowness)
        self._slowness = max(slowness, decayed)


def _expect_seconds(request: AdviceRequest) -> Seconds:
    """Return the time that a call should take according to the queue's policy."""
    policy = request.step.job.queue.advice
    if policy is None:
        return MIN_EXPECTED_SECONDS
    per_worker_ms = policy.per_worker_ms * len(request.worker_ids)
    return max((policy.decide_ms + per_worker_ms) / 1_000.0, MIN_EXPECTED_SECONDS)


def find_ticket_end(sent_at: Seconds, answered_at: Seconds, valid: Seconds) -> Seconds:
    """Return the time until which a ticket is used.

    The adviser issues it at some time between the call and the answer, so it is
    certainly valid for ``valid`` seconds from the call on. If that has nearly passed
    when the answer comes, a part is used all the same: a worker refuses a ticket that
    has expired, but the other way the step would never start.
    """
    return max(sent_at + valid, answered_at + MIN_USABLE_FRACTION * valid)


__all__ = ["AdviceTimes", "find_ticket_end"]
