from __future__ import annotations

import asyncio
import gc
import io
import json
from typing import TYPE_CHECKING

import pytest

from medlarspring_adapters.background_tasks import BackgroundTasks
from medlarspring_adapters.events import create_event_log
from medlarspring_bench.platform_world.virtual_time import run_virtual
from medlarspring_tables import EntryVMId

if TYPE_CHECKING:
    from collections.abc import Callable

    from medlarspring_bench.platform_world.virtual_time import VirtualClock


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


@pytest.mark.parametrize("error", [RuntimeError("odd"), asyncio.CancelledError()])
def test_loop_is_restarted_whatever_it_raises_without_a_flood_of_lines(
    error: BaseException,
):
    """Guards against a loop that ends in silence, and one that fills the log."""
    lines = io.StringIO()
    began = 0

    async def fail() -> None:
        nonlocal began
        began += 1
        raise error

    async def main(clock: VirtualClock) -> None:
        tasks = BackgroundTasks(create_event_log(EntryVMId("e"), "ERROR", lines))
        tasks.run_with_restart(fail, "sweep")
        await asyncio.sleep(3_600.0)
        await tasks.cancel()

    run_virtual(main)
    assert began > 3_000
    logged = [json.loads(line) for line in lines.getvalue().splitlines()]
    assert {line["task"] for line in logged} == {"sweep"}
    assert [line["failures"] for line in logged] == [2**each for each in range(12)]


async def test_failure_of_awaited_work_is_logged_when_its_caller_has_gone():
    """Guards against a run whose failure no one sees after its caller disconnects."""
    lines = io.StringIO()
    tasks = BackgroundTasks(create_event_log(EntryVMId("e"), "ERROR", lines))

    async def fail() -> None:
        raise RuntimeError("odd")

    task = tasks.start_awaited(fail())
    await tasks.wait(1.0)
    await asyncio.sleep(0)
    assert "RuntimeError: odd" in lines.getvalue()
    with pytest.raises(RuntimeError):
        await task


def test_loop_ends_also_if_its_cancelled_call_raises_something_else():
    """Guards against a service whose stop waits for ever."""

    async def run() -> None:
        try:
            await wait_forever()
        except asyncio.CancelledError:
            raise OSError("closed") from None

    async def main(_: VirtualClock) -> None:
        tasks = BackgroundTasks(create_event_log(EntryVMId("e"), "CRITICAL"))
        tasks.run_with_restart(run)
        await asyncio.sleep(1.0)
        async with asyncio.timeout(60.0):
            await tasks.cancel()

    run_virtual(main)


@pytest.mark.parametrize(
    "start", [BackgroundTasks.start, BackgroundTasks.start_awaited]
)
async def test_tasks_of_one_name_that_all_fail_do_not_fill_the_log(
    start: Callable[..., asyncio.Task],
):
    """Guards against a line for each order or reading while all of them fail."""
    lines = io.StringIO()
    tasks = BackgroundTasks(create_event_log(EntryVMId("e"), "ERROR", lines))

    async def fail() -> None:
        raise RuntimeError("odd")

    for name in ["read"] * 100 + ["send"]:
        await asyncio.wait([start(tasks, fail(), name)])
    await asyncio.sleep(0)
    logged = [json.loads(line) for line in lines.getvalue().splitlines()]
    counts = [(line["task"], line["failures"]) for line in logged]
    assert counts == [*(("read", 2**each) for each in range(7)), ("send", 1)]
