"""The plan of a maintenance wave as a whole: the order of VMs and the expected end.

Long-running tasks bound a wave more often than its slots do. A step's tasks move one
after another, as many at a time as the step allows to be unavailable, so that the
tasks of one step on all due VMs form a chain. All chains are begun when the wave is
ordered, and each one is worked off VM by VM.
"""

from __future__ import annotations

import heapq
from collections import Counter
from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping, Sequence

    from medlarspring_tables import Seconds, VMId
    from medlarspring_tables.scheduling import StepRun


class WaveObstacle(Enum):
    """What delays the last VMs of a wave."""

    NONE = "none"
    SLOTS = "slots"
    """Too few VMs may be in maintenance at the same time."""
    AVAILABILITY = "availability"
    """Long-running tasks move one after another to keep their steps available."""
    ROOM = "room"
    """No worker has room for a long-running task that has to move."""


@dataclass(frozen=True, slots=True)
class DueVM:
    """A VM that still needs its maintenance, and what runs on it."""

    id: VMId
    steps: tuple[StepRun, ...] = ()
    """The step of each long-running task on the VM, with repetitions."""
    begun: bool = False
    """Whether long-running tasks have begun to move away."""
    batch_seconds: Seconds = 0.0
    """Expected time until its batch tasks have finished."""


@dataclass(frozen=True, slots=True)
class StepMoves:
    """How the long-running tasks of a step can move."""

    budget: int
    """Tasks that may be unavailable at the same time."""
    unavailable: int = 0
    """Tasks that are unavailable now, including those that are being moved."""
    has_room: bool = True
    """Whether a worker has room for another task now."""
    leaves_wave: bool = True
    """Whether a worker on a VM that is not due could take a task."""


@dataclass(frozen=True, slots=True)
class WaveSlots:
    """The VMs of a wave that may be in maintenance at the same time."""

    free: int
    used: int
    maintenance_seconds: Seconds


@dataclass(frozen=True, slots=True)
class WaveForecast:
    """The expected course of a wave; times are in seconds from now."""

    ready_in: Mapping[VMId, Seconds] = field(default_factory=dict)
    """Time until each VM can go down."""
    ends_in: Seconds = 0.0
    """Time until the last VM is back from its maintenance."""
    late: tuple[VMId, ...] = ()
    """VMs whose maintenance is expected to end after the deadline."""
    obstacle: WaveObstacle = WaveObstacle.NONE
    """What holds the VM that is back last, if any is late."""


def order_for_moves(vms: Iterable[DueVM]) -> list[DueVM]:
    """Return the VMs with long-running tasks in the order in which these move.

    VMs that were begun are finished first. The VMs that need the longest chain come
    next, because a chain that starts last also ends last.
    """
    loaded = [vm for vm in vms if vm.steps]
    tasks_by_step = Counter(step for vm in loaded for step in vm.steps)
    return sorted(
        loaded,
        key=lambda vm: (
            not vm.begun,
            -max(tasks_by_step[step] for step in vm.steps),
            -len(vm.steps),
            vm.id,
        ),
    )


def forecast_wave(
    vms: Sequence[DueVM],
    moves_by_step: Mapping[StepRun, StepMoves],
    slots: WaveSlots,
    move_seconds: Seconds,
    remaining_seconds: Seconds,
) -> WaveForecast:
    """Return the expected course of a wave if nothing else fails.

    ``move_seconds`` is the time in which a long-running task stops and is available
    again elsewhere; ``remaining_seconds`` is the time left until the deadline.
    """
    ready_in = _forecast_moves(vms, moves_by_step, move_seconds)
    free_at = [0.0] * max(slots.free, 0)
    free_at += [slots.maintenance_seconds] * slots.used
    if not free_at:
        return WaveForecast(ready_in)
    heapq.heapify(free_at)
    late: list[VMId] = []
    ends_in = 0.0
    obstacle = WaveObstacle.NONE
    for vm in sorted(vms, key=lambda vm: ready_in[vm.id]):
        slot_at = free_at[0]
        ready_at = ready_in[vm.id]
        end = max(ready_at, slot_at) + slots.maintenance_seconds
        heapq.heapreplace(free_at, end)
        if end > ends_in:
            ends_in = end
            obstacle = _find_obstacle(vm, moves_by_step, ready_at, slot_at)
        if end > remaining_seconds:
            late.append(vm.id)
    return WaveForecast(
        ready_in, ends_in, tuple(late), obstacle if late else WaveObstacle.NONE
    )


def _forecast_moves(
    vms: Sequence[DueVM],
    moves_by_step: Mapping[StepRun, StepMoves],
    move_seconds: Seconds,
) -> dict[VMId, Seconds]:
    ready_in = {vm.id: vm.batch_seconds for vm in vms}
    lanes_by_step = {
        step: _list_lanes(moves, move_seconds) for step, moves in moves_by_step.items()
    }
    for vm in order_for_moves(vms):
        for step in vm.steps:
            lanes = lanes_by_step[step]
            begin = lanes[0]
            heapq.heapreplace(lanes, begin + move_seconds)
            # The last tasks go down with their VM.
            ready_in[vm.id] = max(ready_in[vm.id], begin)
    return ready_in


def _list_lanes(moves: StepMoves, move_seconds: Seconds) -> list[float]:
    """Return when each task that may be unavailable can begin to move.

    A move that is under way is half done on average.
    """
    budget = max(moves.budget, 1)
    taken = min(moves.unavailable, budget)
    lanes = [move_seconds / 2] * taken + [0.0] * (budget - taken)
    heapq.heapify(lanes)
    return lanes


def _find_obstacle(
    vm: DueVM,
    moves_by_step: Mapping[StepRun, StepMoves],
    ready_at: Seconds,
    slot_at: Seconds,
) -> WaveObstacle:
    if any(not moves_by_step[step].has_room for step in vm.steps):
        return WaveObstacle.ROOM
    if vm.steps and ready_at >= slot_at:
        return WaveObstacle.AVAILABILITY
    return WaveObstacle.SLOTS


__all__ = [
    "DueVM",
    "StepMoves",
    "WaveForecast",
    "WaveObstacle",
    "WaveSlots",
    "forecast_wave",
    "order_for_moves",
]
