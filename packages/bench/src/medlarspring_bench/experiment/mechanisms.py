"""The policy mechanisms under test, and how each one is disabled."""

from __future__ import annotations

from contextlib import contextmanager
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any
from unittest import mock

from medlarspring_daemon.scheduling import job_feed, vm_manager
from medlarspring_systems.scheduling import (
    demand,
    estimates,
    ordering,
    pool_needs,
    pool_sizing,
    repair,
    rounds,
)

if TYPE_CHECKING:
    from collections.abc import Iterator
    from types import ModuleType

FOREVER = float("inf")


@dataclass(frozen=True, slots=True)
class Mechanism:
    """A mechanism, and the replacement value that disables it."""

    name: str
    owner: ModuleType | type
    attribute: str
    off: Any
    purpose: str
    """The load or the failure that the mechanism is meant for."""

    @contextmanager
    def switched_off(self) -> Iterator[None]:
        """Disable the mechanism; the policy reads the value at each decision."""
        with mock.patch.object(self.owner, self.attribute, self.off):
            yield


def _arrive_now(feed: job_feed.JobFeed, record: Any) -> float:
    return feed._node.clock.now()


def _wait_for_lease(keeper: vm_manager.VMManager, operation: Any) -> float:
    return keeper._maintenance_allowed_at


def _plan_nothing(*_: Any) -> None:
    return None


def _weigh_nothing(*_: Any) -> float:
    return 0.0


MECHANISMS = (
    Mechanism(
        "arrivals-at-takeover",
        job_feed.JobFeed,
        "_find_arrival_time",
        _arrive_now,
        "a controller that loads jobs in the middle of a burst",
    ),
    Mechanism(
        "moves-at-once",
        vm_manager.VMManager,
        "_find_start",
        _wait_for_lease,
        "a takeover while the pool with the burst needs VMs",
    ),
    Mechanism("trend", demand, "TREND_GAIN", 0.0, "the beginning of a burst"),
    Mechanism(
        "reserve",
        pool_needs,
        "LOW_SLACK_SIZE_RATIO",
        0.0,
        "the first second and a half of a burst of short jobs",
    ),
    Mechanism(
        "kept-need",
        pool_sizing,
        "NEED_WINDOW_SECONDS",
        0.0,
        "demand that falls for a moment and rises again",
    ),
    Mechanism(
        "size-order",
        rounds,
        "measure_size_weight",
        _weigh_nothing,
        "more work than the pool can do in time",
    ),
    Mechanism(
        "learnt-durations",
        estimates,
        "ESTIMATE_WEIGHT",
        1.0,
        "estimates that are wrong by half",
    ),
    Mechanism(
        "kept-worker",
        rounds,
        "RESERVE_AFTER_SECONDS",
        FOREVER,
        "large tasks between many small ones",
    ),
    Mechanism(
        "feasibility",
        ordering,
        "FEASIBILITY_SLACK",
        FOREVER,
        "jobs that can no longer be in time",
    ),
    Mechanism(
        "stalls",
        repair,
        "_plan_stall_stops",
        _plan_nothing,
        "workers on which tasks make no progress",
    ),
)


__all__ = ["MECHANISMS", "Mechanism"]
