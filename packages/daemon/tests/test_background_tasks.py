from __future__ import annotations

import asyncio
import gc
import io
from typing import TYPE_CHECKING

import pytest

from medlarspring_adapters.events import Event, create_event_log
from medlarspring_daemon import background_tasks
from medlarspring_daemon.background_tasks import BackgroundTasks
from medlarspring_tables import EntryVMId

if TYPE_CHECKING:
    from collections.abc import Callable


async def wait_forever() -> None:
    await asyncio.Event().wait()


def start_once(tasks: BackgroundTasks) -> asyncio.Task:
    return tasks.start(wait_forever())


def start_with_restart(tasks: BackgroundTasks) -> asyncio.Task:
    return tasks.run_with_restart(wait_forever)


@pytest.mark.filterwarnings("error::RuntimeWarning")
@pytest.mark.parametrize("steps", [0, 1, 3])
@pytest.mark.parametrize("start", [start_once, start_with_restart])
def test_work_is_closed_when_its_task_is_cancelled(
    start: Callable[[BackgroundTasks], asyncio.Task],
    steps: int,
    recwarn: pytest.WarningsRecorder,
):
    """Guards against work that is left unawaited by a stop right after its start."""

    async def play() -> asyncio.Task:
        tasks = BackgroundTasks(create_event_log(EntryVMId("e"), "ERROR"))
        task = start(tasks)
        for _ in range(steps):
            await asyncio.sleep(0)
        await tasks.cancel()
        return task

    assert asyncio.run(play()).cancelled()
    gc.collect()
    assert not recwarn.list


async def test_loop_restarts_after_a_cancellation_that_nobody_asked_for(
    monkeypatch: pytest.MonkeyPatch,
):
    """Guards against a loop that ends in silence when a library cancels its call."""
    monkeypatch.setattr(background_tasks, "RESTART_SECONDS", 0.0)
    restarted = asyncio.Event()
    runs: list[None] = []

    async def run() -> None:
        runs.append(None)
        if len(runs) > 1:
            restarted.set()
            await wait_forever()
        future = asyncio.get_running_loop().create_future()
        future.cancel()
        await future

    log = io.StringIO()
    tasks = BackgroundTasks(create_event_log(EntryVMId("e"), "ERROR", log))
    tasks.run_with_restart(run)
    async with asyncio.timeout(1.0):
        await restarted.wait()
    await tasks.cancel()
    assert str(Event.TASK_FAILED.number) in log.getvalue()
