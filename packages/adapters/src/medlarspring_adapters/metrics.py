"""Metric names and the statsd client; docs/METRICS.md describes the metrics."""

from __future__ import annotations

from enum import Enum
from typing import Protocol

from statsd import StatsClient


class Metric(Enum):
    """Every metric the daemon sends."""

    REQUESTS_ANSWERED = "requests.answered"
    REQUESTS_REFUSED = "requests.refused"
    REQUESTS_UNKNOWN = "requests.unknown"
    REQUESTS_REPLAYED = "requests.replayed"
    REQUEST_MS = "requests.ms"

    TABLE_REVISION = "configuration.revision"
    STORE_FAILING_SECONDS = "store.failing_seconds"
    STORE_CALLS = "store.calls"
    STORE_CALLS_CONFIGURATION = "store.calls.configuration"
    STORE_CALLS_EDITS = "store.calls.edits"
    STORE_CALLS_CLAIMS = "store.calls.claims"
    STORE_CALLS_CONTROL_WORK = "store.calls.control-work"
    STORE_CALLS_HOLDERS = "store.calls.holders"
    STORE_CALLS_AUDIT = "store.calls.audit"
    STORE_CALLS_LEASES = "store.calls.leases"
    STORE_CALLS_OTHER = "store.calls.other"
    STORE_CALLS_OVER_BUDGET = "store.calls.over_budget"
    PEERS_HEARD = "peers.heard"
    PEER_CALLS = "peers.calls"
    PEER_BYTES = "peers.bytes"
    PEER_SLOT_BYTES = "peers.slot_bytes"
    POOLS_HELD = "pools.held"

    CALLS_UNAUTHORISED = "calls.unauthorised"
    CONFIG_VERSION = "configuration.version"
    CONFIG_UNCONFIRMED_SECONDS = "configuration.unconfirmed_seconds"
    JOBS_ACCEPTED = "jobs.accepted"
    JOBS_REFUSED = "jobs.refused"
    COUNTS_REFUSED = "jobs.counts_refused"
    JOBS_REFUSED_FOR_LOAD = "jobs.refused_for_load"
    JOBS_UNKNOWN = "jobs.unknown"
    JOBS_COMPLETE = "jobs.complete"
    JOBS_FAILED = "jobs.failed"
    JOBS_CANCELLED = "jobs.cancelled"
    JOBS_OPEN = "jobs.open"
    JOB_ACCEPT_MS = "jobs.accept_ms"
    JOB_MS = "jobs.ms"
    RUNS_STARTED = "runs.started"
    RUNS_REFUSED = "runs.refused"
    RUNS_UNANSWERED = "runs.unanswered"
    RUN_ORDER_REPEATS = "runs.order_repeats"
    RUNS_ANSWERED_BY_REPEAT = "runs.answered_by_repeat"
    RUNS_COPIED = "runs.copied"
    RUN_COPIES_WON = "runs.copies_won"
    RUNS_MOVED_OFF_SLOW = "runs.moved_off_slow"
    RUNS_FAILED = "runs.failed"
    RUNS_LOST = "runs.lost"
    RUN_ENDS_UNKNOWN = "runs.ends_unknown"
    RUNS_UNEXPECTED = "runs.unexpected"
    WORKER_CALLS_OPEN = "workers.calls_open"
    WORKER_CALL_REPEATS = "workers.call_repeats"
    WORKERS_CRASHED = "workers.crashed"
    RUN_WAIT_MS = "runs.wait_ms"
    RUN_ORDER_MS = "runs.order_ms"
    RECORD_WRITE_MS = "records.write_ms"
    RECORDS_REPEATED = "records.repeated"
    CELLS_HELD = "cells.held"
    CELLS_GIVEN_UP = "cells.given_up"
    CONTROLLER_DELAY_MS = "cells.delay_ms"
    STEPS_FAILED = "cells.steps_failed"
    TAKEOVER_MS = "cells.takeover_ms"
    WORKERS_OPEN = "workers.open"
    WORKERS_VIEW_AGE = "workers.view_age"
    WORKERS_SILENT = "workers.silent"
    WORKERS_DOUBTED = "workers.doubted"
    TASKS_WAITING = "tasks.waiting"
    ADVICE_STEPS_AWAITING = "advice.steps_awaiting"
    ADVICE_LONGEST_WAIT = "advice.longest_wait"
    TASKS_OVER_QUOTA = "tasks.over_quota"
    SHARES_PARTNERS_OVER = "shares.partners_over"
    SHARES_MOST_OVER = "shares.most_over"
    TASKS_SHUT_OUT = "tasks.shut_out"
    TASKS_SUSPECTED = "tasks.suspected"
    WORKERS_ISOLATED = "workers.isolated"
    WORKERS_KEPT_FREE = "workers.kept_free"
    VMS_MOVED = "vms.moved"
    VMS_YIELDING = "vms.yielding"
    VMS_MAINTAINED = "vms.maintained"
    WAVES_LATE_VMS = "waves.late_vms"
    STORE_CALL_MS = "store.call_ms"
    STORE_CALLS_FAILED = "store.calls_failed"
    STORE_GROUPS_SPLIT = "store.groups_split"
    STORE_GROUPS_INTERRUPTED = "store.groups_interrupted"
    FOLLOWER_FAILURES = "store.follower_failures"

    FLEET_DISRUPTED = "fleet.disrupted"
    FLEET_OUT = "fleet.out"
    FLEET_LEAST_ROOM = "fleet.least_room"


class Metrics(Protocol):
    """Counters, gauges and timings by name."""

    def count(self, metric: Metric, amount: int = 1) -> None:
        """Add to a counter."""
        ...

    def gauge(self, metric: Metric, value: float) -> None:
        """Set a gauge."""
        ...

    def timing(self, metric: Metric, milliseconds: float) -> None:
        """Record a duration."""
        ...


class StatsdMetrics:
    """Sends metrics to a statsd daemon over UDP; lost datagrams are not detected."""

    def __init__(self, host: str, port: int) -> None:
        self._client = StatsClient(host, port, prefix="medlarspring")

    def count(self, metric: Metric, amount: int = 1) -> None:
        """Add to a counter."""
        self._client.incr(metric.value, amount)

    def gauge(self, metric: Metric, value: float) -> None:
        """Set a gauge."""
        self._client.gauge(metric.value, value)

    def timing(self, metric: Metric, milliseconds: float) -> None:
        """Record a duration."""
        self._client.timing(metric.value, milliseconds)


class NoMetrics:
    """Discards all metrics, for deployments without a statsd daemon."""

    def count(self, metric: Metric, amount: int = 1) -> None:
        """Discard."""

    def gauge(self, metric: Metric, value: float) -> None:
        """Discard."""

    def timing(self, metric: Metric, milliseconds: float) -> None:
        """Discard."""


__all__ = ["Metric", "Metrics", "NoMetrics", "StatsdMetrics"]
