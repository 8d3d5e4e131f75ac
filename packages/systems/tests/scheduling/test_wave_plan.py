"""The order and the forecast of maintenance waves, for a few VMs at a time."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from medlarspring_systems.scheduling.wave_plan import (
    DueVM,
    StepMoves,
    WaveObstacle,
    WaveSlots,
    forecast_wave,
    order_for_moves,
)
from medlarspring_tables import VMId

from .conftest import Scene, create_step

if TYPE_CHECKING:
    from medlarspring_tables.scheduling import StepRun

MOVE = 2.0
MAINTENANCE = 2.0


@pytest.fixture
def step(scene: Scene) -> StepRun:
    return scene.add_job("lasting", create_step()).occurrences_by_index[0][0]


@pytest.mark.parametrize(
    ("vms", "tasks", "budget", "slots", "ends_in", "late", "obstacle"),
    [
        pytest.param(4, 0, 1, 4, 2.0, 0, WaveObstacle.NONE, id="idle"),
        pytest.param(4, 0, 1, 1, 8.0, 0, WaveObstacle.NONE, id="one slot"),
        pytest.param(9, 0, 1, 1, 18.0, 4, WaveObstacle.SLOTS, id="slots"),
        pytest.param(3, 1, 1, 4, 6.0, 0, WaveObstacle.NONE, id="chain"),
        pytest.param(6, 1, 1, 4, 12.0, 1, WaveObstacle.AVAILABILITY, id="long chain"),
        pytest.param(6, 1, 2, 4, 6.0, 0, WaveObstacle.NONE, id="budget of two"),
        pytest.param(2, 4, 1, 4, 16.0, 1, WaveObstacle.AVAILABILITY, id="deep VMs"),
    ],
)
def test_forecast_follows_slots_and_chains(
    step: StepRun,
    vms: int,
    tasks: int,
    budget: int,
    slots: int,
    ends_in: float,
    late: int,
    obstacle: WaveObstacle,
):
    """The deadline is 10 s away, and a move takes as long as a maintenance."""
    due = [DueVM(VMId(f"m-{number}"), (step,) * tasks) for number in range(vms)]
    forecast = forecast_wave(
        due,
        {step: StepMoves(budget)},
        WaveSlots(slots, 0, MAINTENANCE),
        move_seconds=MOVE,
        remaining_seconds=10.0,
    )
    assert forecast.ends_in == ends_in
    assert len(forecast.late) == late
    assert forecast.obstacle is obstacle


def test_forecast_names_missing_room(step: StepRun):
    forecast = forecast_wave(
        [DueVM(VMId("m-1"), (step,))],
        {step: StepMoves(1, unavailable=1, has_room=False)},
        WaveSlots(1, 0, MAINTENANCE),
        move_seconds=MOVE,
        remaining_seconds=1.0,
    )
    assert forecast.obstacle is WaveObstacle.ROOM


def test_begun_vms_move_first_then_those_on_the_longest_chain(scene: Scene):
    """
    The hardest VMs were left to the end. A chain that begins last ends last.
    """
    short, long = (
        scene.add_job(name, create_step()).occurrences_by_index[0][0]
        for name in ("short", "long")
    )
    due = [
        DueVM(VMId("m-1"), (short,)),
        DueVM(VMId("m-2"), (short,), begun=True),
        DueVM(VMId("m-3"), (long,)),
        DueVM(VMId("m-4"), (long, long)),
        DueVM(VMId("m-5")),
    ]
    assert [vm.id for vm in order_for_moves(due)] == ["m-2", "m-4", "m-3", "m-1"]
