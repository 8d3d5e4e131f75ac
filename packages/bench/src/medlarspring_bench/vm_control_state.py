"""State machine of the platform's VM control; no input or output."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

from msgspec import Struct

if TYPE_CHECKING:
    from collections.abc import Iterable

    from medlarspring_adapters.clock import Clock


class Condition(Enum):
    """Condition of a VM as the VM control shows it."""

    SERVING = "serving"
    DRAINING = "draining"
    DRAINED = "drained"
    REBOOTING = "rebooting"
    DOWN = "down"


class ActionRefused(Exception):
    """The action was refused and changed nothing."""

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


class VMRow(Struct, kw_only=True):
    """One VM as the VM control shows it."""

    id: str
    pool: str
    rack: str
    zone: str
    condition: Condition = Condition.SERVING
    boot: int = 1
    revision: int = 0
    """Highest revision of an accepted action; survives reboots."""


@dataclass(slots=True)
class VMTimes:
    """Durations of drains and reboots."""

    drain_seconds: float = 0.3
    """Minimum time from the drain action to ``drained``."""
    reboot_seconds: float = 2.0


@dataclass(slots=True)
class VMFaults:
    """Injected faults of reboots."""

    never_return: set[str] = field(default_factory=set)
    """VMs that stay ``rebooting``."""
    fail: set[str] = field(default_factory=set)
    """VMs that end a reboot ``down``."""


class VMControlState:
    """Conditions of all VMs, changed by accepted actions, time and rack faults."""

    def __init__(self, clock: Clock, times: VMTimes | None = None) -> None:
        self.times = times or VMTimes()
        self.faults = VMFaults()
        self.rows_by_id: dict[str, VMRow] = {}
        self.running_by_id: dict[str, int] = {}
        """Requests in flight by VM, where known; a VM is drained at 0."""
        self._clock = clock
        self._since_by_id: dict[str, float] = {}
        self._closed_by_id: dict[str, int] = {}
        self._rebooted_by_id: dict[str, int] = {}
        self._assigned_by_id: dict[str, int] = {}

    def add(self, row: VMRow) -> None:
        """Add a VM; an existing one is left unchanged."""
        self.rows_by_id.setdefault(row.id, row)

    def find(self, pools: Iterable[str] = (), ids: Iterable[str] = ()) -> list[VMRow]:
        """Return VMs of any of the pools or with any of the ids; all by default."""
        self.step()
        pools, ids = set(pools), set(ids)
        return [
            row
            for row in self.rows_by_id.values()
            if not (pools or ids) or row.pool in pools or row.id in ids
        ]

    def drain(self, id_: str, revision: int) -> VMRow:
        """Start draining the VM."""
        row = self._accept(id_, revision)
        if row.condition is Condition.SERVING:
            self._set(row, Condition.DRAINING)
        return row

    def reboot(self, id_: str, revision: int) -> VMRow:
        """Reboot a drained VM, once for each revision."""
        row = self._check(id_, revision)
        if self._rebooted_by_id.get(id_) != revision:
            self._require_drained(row)
            self._rebooted_by_id[id_] = revision
            self._set(row, Condition.REBOOTING)
        row.revision = revision
        return row

    def assign(self, id_: str, revision: int, pool: str) -> VMRow:
        """Move a drained VM to a pool and make it serve there."""
        row = self._check(id_, revision)
        if self._assigned_by_id.get(id_) != revision:
            self._require_drained(row)
            self._assigned_by_id[id_] = revision
            row.pool = pool
            self._set(row, Condition.SERVING)
        row.revision = revision
        return row

    def restore(self, id_: str, revision: int) -> VMRow:
        """Make the VM serve again and close the revision."""
        row = self._find(id_)
        if revision < row.revision:
            raise ActionRefused("stale")
        row.revision = revision
        self._closed_by_id[id_] = revision
        if row.condition in (Condition.DRAINING, Condition.DRAINED):
            self._set(row, Condition.SERVING)
        return row

    def set_rack_down(self, rack: str, down: bool) -> None:
        """Fail all VMs of a rack, or restore them."""
        for row in self.rows_by_id.values():
            if row.rack != rack:
                continue
            if down:
                self._set(row, Condition.DOWN)
            elif row.condition is Condition.DOWN:
                row.boot += 1
                self._set(row, Condition.SERVING)

    def step(self) -> None:
        """Advance draining and rebooting VMs to the current time."""
        now = self._clock.now()
        for row in self.rows_by_id.values():
            elapsed = now - self._since_by_id.get(row.id, now)
            if row.condition is Condition.DRAINING:
                self._step_draining(row, elapsed)
            elif row.condition is Condition.REBOOTING:
                self._step_rebooting(row, elapsed)

    def _step_draining(self, row: VMRow, elapsed: float) -> None:
        idle = self.running_by_id.get(row.id, 0) == 0
        if idle and elapsed >= self.times.drain_seconds:
            self._set(row, Condition.DRAINED)

    def _step_rebooting(self, row: VMRow, elapsed: float) -> None:
        if row.id in self.faults.never_return or elapsed < self.times.reboot_seconds:
            return
        if row.id in self.faults.fail:
            self._set(row, Condition.DOWN)
            return
        row.boot += 1
        self._set(row, Condition.SERVING)

    def _accept(self, id_: str, revision: int) -> VMRow:
        row = self._check(id_, revision)
        row.revision = revision
        return row

    def _check(self, id_: str, revision: int) -> VMRow:
        self.step()
        row = self._find(id_)
        closed = self._closed_by_id.get(id_) == revision
        if revision < row.revision or closed:
            raise ActionRefused("stale")
        return row

    def _find(self, id_: str) -> VMRow:
        row = self.rows_by_id.get(id_)
        if row is None:
            raise KeyError(id_)
        return row

    def _require_drained(self, row: VMRow) -> None:
        if row.condition is not Condition.DRAINED:
            raise ActionRefused("not-drained")

    def _set(self, row: VMRow, condition: Condition) -> None:
        row.condition = condition
        self._since_by_id[row.id] = self._clock.now()


__all__ = [
    "ActionRefused",
    "Condition",
    "VMControlState",
    "VMFaults",
    "VMRow",
    "VMTimes",
]
