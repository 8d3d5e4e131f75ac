"""What is believed to help, and how each of it is switched off."""

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
    """One mechanism, and the value in its place that makes it do nothing."""

    name: str
    owner: ModuleType | type
    attribute: str
    off: Any
    purpose: str
    """The load or the failure that it is meant for."""

    @contextmanager
    def switched_off(self) -> Iterator[None]:
        """Run without it; the policy reads the value each time it decides."""
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
        "a controller that loads jobs in the middle of a turn",
    ),
    Mechanism(
        "moves-at-once",
        vm_manager.VMManager,
        "_find_start",
        _wait_for_lease,
        "a takeover while the pool in turn needs VMs",
    ),
    Mechanism("trend", demand, "TREND_GAIN", 0.0, "the beginning of a turn"),
    Mechanism(
        "reserve",
        pool_needs,
        "LOW_SLACK_SIZE_RATIO",
        0.0,
        "the first second and a half of a turn of short jobs",
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
        "jobs that can't be in time any more",
    ),
    Mechanism(
        "stalls",
        repair,
        "_look_for_stalls",
        _plan_nothing,
        "workers on which tasks stand still",
    ),
)


__all__ = ["MECHANISMS", "Mechanism"]
