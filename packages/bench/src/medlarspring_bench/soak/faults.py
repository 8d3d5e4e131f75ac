"""Faults of a soak: signals to processes and faults of the proxies between them."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, TypeAlias

from medlarspring_bench.platform_world.fault_state import StoreMode
from medlarspring_bench.platform_world.faults import (
    crash_worker,
    drain_worker,
    flap_workers,
    forget_history,
    lose_replies,
    order_wave,
    pause_store,
    remove_worker,
    resize_worker,
    send_crashing_job,
    send_late_crashing_job,
    slow_store,
    spoil_worker,
    take_store_down,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from medlarspring_bench.soak.proxy import Link
    from medlarspring_bench.soak.runner import SoakRun

SoakFault: TypeAlias = "Callable[[SoakRun], Awaitable[None]]"

DOWN_SECONDS = (0.2, 3.0)
"""Range of the time between a process's end and its restart."""
PARTITION_SECONDS = (0.5, 8.0)
"""Range of the duration of partitions: shorter and longer than any lease."""
DELAY_SECONDS = (0.05, 0.4)


async def kill_node(soak_run: SoakRun) -> None:
    """Kill an entry VM's process and restart it."""
    name = soak_run.choose_node()
    if name is None:
        return
    soak_run.record_disruption(name)
    await soak_run.entry_vms.kill(name)
    await asyncio.sleep(soak_run.rng.uniform(*DOWN_SECONDS))
    await soak_run.entry_vms.start(name)


async def kill_all(soak_run: SoakRun) -> None:
    """Kill all processes together and restart them."""
    names = list(soak_run.world.nodes_by_name)
    for name in names:
        soak_run.record_disruption(name)
    await asyncio.gather(*(soak_run.entry_vms.kill(name) for name in names))
    await asyncio.sleep(soak_run.rng.uniform(*DOWN_SECONDS))
    await asyncio.gather(*(soak_run.entry_vms.start(name) for name in names))


async def stop_node(soak_run: SoakRun) -> None:
    """Stop a process gracefully and restart it."""
    name = soak_run.choose_node()
    if name is None:
        return
    await soak_run.entry_vms.terminate(name)
    await soak_run.entry_vms.start(name)


async def restart_nodes_in_turn(soak_run: SoakRun) -> None:
    """Restart all processes gracefully, one after the other."""
    for name in sorted(soak_run.world.nodes_by_name):
        await soak_run.entry_vms.terminate(name)
        await soak_run.entry_vms.start(name)


async def pause_node(soak_run: SoakRun) -> None:
    """Pause a process for seconds, about half of the time longer than its lease."""
    name = soak_run.choose_node()
    if name is None:
        return
    entry_vm = soak_run.entry_vms.pause(name)
    if entry_vm is None:
        return
    soak_run.record_disruption(name)
    await asyncio.sleep(soak_run.rng.uniform(0.3, 5.0))
    soak_run.entry_vms.resume(entry_vm)
    soak_run.record_disruption(name)


async def deny_store_to_node(soak_run: SoakRun) -> None:
    """Make the store reject the calls of one entry VM or leave them unanswered."""
    name = soak_run.choose_node()
    if name is None:
        return
    moods = soak_run.world.fault_state.store_modes_by_node
    moods[name] = soak_run.rng.choice((StoreMode.BUSY, StoreMode.SILENT))
    await asyncio.sleep(soak_run.rng.uniform(*PARTITION_SECONDS))
    moods.pop(name, None)


async def partition_node(soak_run: SoakRun) -> None:
    """Partition an entry VM from everything, in one direction or both."""
    name = soak_run.choose_node()
    if name is None:
        return
    links = soak_run.world.links_by_node[name].list_all()
    soak_run.record_disruption(name)
    await _partition_links(soak_run, links)
    soak_run.record_disruption(name)


async def partition_node_from_store(soak_run: SoakRun) -> None:
    """Partition an entry VM from the store, in one direction or both."""
    name = soak_run.choose_node()
    if name is not None:
        await _partition_links(soak_run, (soak_run.world.links_by_node[name].store,))


async def partition_worker(soak_run: SoakRun) -> None:
    """Partition a running worker, in one direction or both."""
    await _partition_links(
        soak_run, (soak_run.world.links_by_vm[soak_run.choose_vm()],)
    )


async def _partition_links(soak_run: SoakRun, links: tuple[Link, ...]) -> None:
    forward, backward = soak_run.rng.choice(
        ((True, True), (True, False), (False, True))
    )
    for link in links:
        link.faults.hold_forward = forward
        link.faults.hold_backward = backward
    await asyncio.sleep(soak_run.rng.uniform(*PARTITION_SECONDS))
    for link in links:
        link.clear_faults()


async def delay_links(soak_run: SoakRun) -> None:
    """Delay all data through a random half of the proxies."""
    links = [
        link for link in soak_run.world.list_links() if soak_run.rng.random() < 0.5
    ]  # noqa: PLR2004
    for link in links:
        link.faults.delay_seconds = soak_run.rng.uniform(*DELAY_SECONDS)
    await asyncio.sleep(soak_run.rng.uniform(1.0, 4.0))
    for link in links:
        link.clear_faults()


async def reset_links(soak_run: SoakRun) -> None:
    """Reset the open connections of all proxies."""
    for name in soak_run.world.links_by_node:
        soak_run.record_disruption(name)
    for link in soak_run.world.list_links():
        link.reset()


async def silence_links(soak_run: SoakRun) -> None:
    """Make all open connections silent for good; new ones work."""
    for name in soak_run.world.links_by_node:
        soak_run.record_disruption(name)
    for link in soak_run.world.list_links():
        link.silence()


FAULTS: tuple[tuple[str, SoakFault], ...] = (
    ("kill a node", kill_node),
    ("kill a node", kill_node),
    ("kill all nodes", kill_all),
    ("stop a node", stop_node),
    ("stop a node", stop_node),
    ("roll all nodes", restart_nodes_in_turn),
    ("freeze a node", pause_node),
    ("freeze a node", pause_node),
    ("keep a node from the store", deny_store_to_node),
    ("cut a node", partition_node),
    ("cut a node from the store", partition_node_from_store),
    ("cut a worker", partition_worker),
    ("delay links", delay_links),
    ("reset links", reset_links),
    ("silence links", silence_links),
    ("store down", take_store_down),
    ("store paused", pause_store),
    ("store slow", slow_store),
    ("replies lost", lose_replies),
    ("history forgotten", forget_history),
    ("worker crashes", crash_worker),
    ("workers go down and up by turns", flap_workers),
    ("worker leaves", drain_worker),
    ("worker spoilt", spoil_worker),
    ("worker removed", remove_worker),
    ("wave", order_wave),
    ("task crashes its workers", send_crashing_job),
    ("task crashes its workers late", send_late_crashing_job),
    ("worker shrinks and grows", resize_worker),
)
"""Names and faults; some are listed twice to be drawn more often."""


__all__ = ["FAULTS", "SoakFault"]
