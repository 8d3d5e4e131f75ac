"""Measures bursts of edits by several editors on one in-memory store.

Each store call takes a fixed time, so that the figures show conflicts between
editors and their CPU time.

Command: ``python -m medlarspring_bench.measure.table_edits``
"""

from __future__ import annotations

import asyncio
import random
import time
from dataclasses import dataclass

import msgspec

from medlarspring_adapters.clock import SystemClock
from medlarspring_bench.memory_store import MemoryStore, create_memory_store
from medlarspring_daemon.configuration.table_editor import TableEditor
from medlarspring_systems.table_edit import RowAction, RowEdit, TableEdit, apply_edit
from medlarspring_tables import ConfigTable, EditId, Revision, RowKind

TARGET_PARTNERS = 370
TARGET_POOLS = 46
BURST = 50
APPLIED_EDITS = 200


@dataclass(frozen=True, slots=True)
class BurstFigures:
    """Results of one burst."""

    p50_seconds: float
    last_seconds: float
    writes: int
    reads: int


def create_first_edit() -> TableEdit:
    """Return the edit that imports a table of the target size."""
    rows = [
        *(
            _add(RowKind.POOL, f"pool-{number}", wanted_vms=18, min_available=14)
            for number in range(TARGET_POOLS)
        ),
        *(
            _add(RowKind.SERVICE, f"service-{number}", pool_id=f"pool-{number}")
            for number in range(TARGET_POOLS)
        ),
        *(
            _add(
                RowKind.PARTNER,
                _partner(number),
                weight=1,
                credential_sha256=f"{number:064x}",
            )
            for number in range(TARGET_PARTNERS)
        ),
    ]
    return TableEdit(id=EditId("first"), operator="measure", rows=tuple(rows))


def create_target_table() -> ConfigTable:
    """Return a table of the target size."""
    edit = create_first_edit()
    return apply_edit(ConfigTable(), edit, 0.0, "measure").unwrap().table


def measure_apply(table: ConfigTable) -> float:
    """Return the CPU time of one edit without the store, in seconds."""
    began = time.process_time()
    for number in range(APPLIED_EDITS):
        table = apply_edit(table, _edit(number), 0.0, "measure").unwrap().table
    return (time.process_time() - began) / APPLIED_EDITS


async def measure_burst(editors: int, call_seconds: float) -> BurstFigures:
    """Send a burst of edits to different rows, distributed over the editors."""
    clock = SystemClock()
    store = create_memory_store(clock)
    table_editors = [_create_editor(store, clock, seed) for seed in range(editors)]
    (await table_editors[0].accept(create_first_edit(), "measure")).unwrap()
    store.faults.slow_seconds = call_seconds
    store.calls_by_kind.clear()
    began = time.perf_counter()
    ends: list[float] = []

    async def send(number: int) -> None:
        result = await table_editors[number % editors].accept(_edit(number), "measure")
        result.unwrap()
        ends.append(time.perf_counter() - began)

    await asyncio.gather(*(send(number) for number in range(BURST)))
    calls = store.calls_by_kind
    return BurstFigures(ends[BURST // 2], ends[-1], calls["txn"], calls["range"])


def _create_editor(store: MemoryStore, clock: SystemClock, seed: int) -> TableEditor:
    rng = random.Random(seed)
    return TableEditor(store, clock, rng, lambda: None, lambda table: None)


def _add(kind: RowKind, row_id: str, **fields: str | int) -> RowEdit:
    return RowEdit(kind=kind, id=row_id, action=RowAction.ADD, fields=dict(fields))


def _edit(number: int) -> TableEdit:
    row = RowEdit(
        kind=RowKind.PARTNER,
        id=_partner(number),
        action=RowAction.SET,
        fields={"weight": 2},
        row_revision=Revision(1),
    )
    return TableEdit(id=EditId(f"edit-{number}"), operator="measure", rows=(row,))


def _partner(number: int) -> str:
    return f"partner-{number:03}"


def main() -> None:
    """Print all figures."""
    table = create_target_table()
    print(f"table of the target's size: {len(msgspec.json.encode(table))} bytes")
    print(f"one edit: {measure_apply(table) * 1_000:.2f} ms of processor time")
    for editors, call_seconds in ((1, 0.003), (8, 0.003), (8, 0.010)):
        figures = asyncio.run(measure_burst(editors, call_seconds))
        print(
            f"{BURST} edits, {editors} editors, {call_seconds * 1_000:.0f} ms a call:"
            f" p50 {figures.p50_seconds:.2f} s, last {figures.last_seconds:.2f} s,"
            f" {figures.writes} writes, {figures.reads} reads"
        )


if __name__ == "__main__":
    main()
