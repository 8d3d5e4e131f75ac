"""Faults of a soak: signals to processes, and the proxies between them."""

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

    from medlarspring_bench.soak.play import SoakDay
    from medlarspring_bench.soak.proxy import Link

SoakFault: TypeAlias = "Callable[[SoakDay], Awaitable[None]]"

DOWN_SECONDS = (0.2, 3.0)
"""How long a process is away before it is started again."""
CUT_SECONDS = (0.5, 8.0)
"""How long links are cut: shorter and longer than any lease."""
DELAY_SECONDS = (0.05, 0.4)


async def kill_node(day: SoakDay) -> None:
    """End a process at once, and start it again."""
    name = day.choose_node()
    if name is None:
        return
    day.note_harm(name)
    await day.entry_vms.kill(name)
    await asyncio.sleep(day.rng.uniform(*DOWN_SECONDS))
    await day.entry_vms.start(name)


async def kill_all(day: SoakDay) -> None:
    """End all processes at once."""
    names = list(day.world.nodes_by_name)
    for name in names:
        day.note_harm(name)
    await asyncio.gather(*(day.entry_vms.kill(name) for name in names))
    await asyncio.sleep(day.rng.uniform(*DOWN_SECONDS))
    await asyncio.gather(*(day.entry_vms.start(name) for name in names))


async def stop_node(day: SoakDay) -> None:
    """Stop a process gracefully, and start it again."""
    name = day.choose_node()
    if name is None:
        return
    await day.entry_vms.terminate(name)
    await day.entry_vms.start(name)


async def roll_nodes(day: SoakDay) -> None:
    """Stop and start all processes, one after the other."""
    for name in sorted(day.world.nodes_by_name):
        await day.entry_vms.terminate(name)
        await day.entry_vms.start(name)


async def freeze_node(day: SoakDay) -> None:
    """Pause a process for seconds, longer than its lease as often as not."""
    name = day.choose_node()
    if name is None:
        return
    entry_vm = day.entry_vms.pause(name)
    if entry_vm is None:
        return
    day.note_harm(name)
    await asyncio.sleep(day.rng.uniform(0.3, 5.0))
    day.entry_vms.resume(entry_vm)
    day.note_harm(name)


async def keep_node_from_store(day: SoakDay) -> None:
    """Let the store turn one entry VM down, or never answer it."""
    name = day.choose_node()
    if name is None:
        return
    moods = day.world.fault_state.store_modes_by_node
    moods[name] = day.rng.choice((StoreMode.BUSY, StoreMode.SILENT))
    await asyncio.sleep(day.rng.uniform(*CUT_SECONDS))
    moods.pop(name, None)


async def cut_node(day: SoakDay) -> None:
    """Cut an entry VM off from everything, in one direction or both."""
    name = day.choose_node()
    if name is None:
        return
    links = day.world.links_by_node[name].list_all()
    day.note_harm(name)
    await _hold(day, links)
    day.note_harm(name)


async def cut_node_from_store(day: SoakDay) -> None:
    """Cut an entry VM off from the store, in one direction or both."""
    name = day.choose_node()
    if name is not None:
        await _hold(day, (day.world.links_by_node[name].store,))


async def cut_worker(day: SoakDay) -> None:
    """Cut a worker off, in one direction or both; it runs on."""
    await _hold(day, (day.world.links_by_vm[day.choose_vm()],))


async def _hold(day: SoakDay, links: tuple[Link, ...]) -> None:
    forward, backward = day.rng.choice(((True, True), (True, False), (False, True)))
    for link in links:
        link.faults.hold_forward = forward
        link.faults.hold_backward = backward
    await asyncio.sleep(day.rng.uniform(*CUT_SECONDS))
    for link in links:
        link.heal()


async def delay_links(day: SoakDay) -> None:
    """Delay everything that passes some of the proxies."""
    links = [link for link in day.world.list_links() if day.rng.random() < 0.5]  # noqa: PLR2004
    for link in links:
        link.faults.delay_seconds = day.rng.uniform(*DELAY_SECONDS)
    await asyncio.sleep(day.rng.uniform(1.0, 4.0))
    for link in links:
        link.heal()


async def reset_links(day: SoakDay) -> None:
    """Reset the open connections of all proxies."""
    for name in day.world.links_by_node:
        day.note_harm(name)
    for link in day.world.list_links():
        link.reset()


async def silence_links(day: SoakDay) -> None:
    """Let all open connections go silent for good; new ones work."""
    for name in day.world.links_by_node:
        day.note_harm(name)
    for link in day.world.list_links():
        link.silence()


FAULTS: tuple[tuple[str, SoakFault], ...] = (
    ("kill a node", kill_node),
    ("kill a node", kill_node),
    ("kill all nodes", kill_all),
    ("stop a node", stop_node),
    ("stop a node", stop_node),
    ("roll all nodes", roll_nodes),
    ("freeze a node", freeze_node),
    ("freeze a node", freeze_node),
    ("keep a node from the store", keep_node_from_store),
    ("cut a node", cut_node),
    ("cut a node from the store", cut_node_from_store),
    ("cut a worker", cut_worker),
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
"""Names and faults; what befalls processes stands twice."""


__all__ = ["FAULTS", "SoakFault"]
