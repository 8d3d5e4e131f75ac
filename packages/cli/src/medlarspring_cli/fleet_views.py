"""Text output for pools, VMs, waves, moves and spare capacity."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from medlarspring_cli.render import format_time, format_value, render_table

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator, Mapping

    from medlarspring_adapters.fleet_api import (
        PoolView,
        SpareAnswer,
        VMView,
        WaveView,
    )
    from medlarspring_tables.moves import MoveRecord

LABEL_WIDTH = 14


def list_pools(pools: Iterable[PoolView]) -> str:
    """Return the pools as a table.

    ``room`` is the number of VMs that may still be disrupted.
    """
    headers = ["pool", "wanted", "budget", "available", "disrupted", "failed"]
    return render_table(
        [*headers, "unseen", "out", "room"],
        (
            [
                pool.id,
                pool.wanted_vms,
                pool.min_available,
                pool.available,
                pool.disrupted,
                pool.failed,
                pool.unseen,
                pool.out,
                pool.room,
            ]
            for pool in pools
        ),
    )


def list_vms(vms: Iterable[VMView]) -> str:
    """Return VMs as a table."""
    return render_table(
        ["VM", "pool", "rack", "zone", "state", "since", "health", "platform", "cause"],
        (
            [
                view.record.id,
                view.record.pool_id,
                view.record.rack_id,
                view.record.zone_id,
                view.record.state.value,
                _format_optional_time(view.record.since),
                view.health,
                view.condition,
                _format_cause(view),
            ]
            for view in vms
        ),
    )


def describe_vm(view: VMView) -> str:
    """Return one VM as lines of labels and values."""
    record = view.record
    return _format_lines(
        {
            "VM": record.id,
            "pool": record.pool_id,
            "moves to": record.target_pool_id,
            "rack": record.rack_id,
            "zone": record.zone_id,
            "state": record.state.value,
            "since": _format_optional_time(record.since),
            "cause": _format_cause(view),
            "health": view.health,
            "platform": view.condition,
            "last wave": record.wave_id,
            "outcome": record.outcome.value if record.outcome else None,
            "maintained": _format_optional_time(record.maintained_at),
        }
    )


def list_waves(waves: Iterable[WaveView]) -> str:
    """Return waves as a table."""
    return render_table(
        ["wave", "state", "VMs", "started", "by", "expected end", "steps", "reason"],
        (
            [
                wave.id,
                wave.state,
                wave.vms,
                _format_optional_time(wave.started_at),
                wave.created_by,
                _format_optional_time(wave.expected_end),
                _format_counts(wave.counts_by_step),
                wave.reason,
            ]
            for wave in waves
        ),
    )


def describe_wave(wave: WaveView) -> str:
    """Return one wave as lines of labels and values."""
    blocks = (f"{pool}: {block}" for pool, block in wave.blocks_by_pool.items())
    return _format_lines(
        {
            "wave": wave.id,
            "state": wave.state,
            "reason": wave.reason,
            "started": _format_optional_time(wave.started_at),
            "by": wave.created_by,
            "VMs": wave.vms,
            "steps": _format_counts(wave.counts_by_step),
            "expected end": _format_optional_time(wave.expected_end),
            "resumes": _format_optional_time(wave.resumes_at),
            "not returned": ", ".join(wave.not_returned),
            "held up by": "; ".join(blocks),
        }
    )


def list_moves(moves: Iterable[MoveRecord]) -> str:
    """Return moves as a table."""
    return render_table(
        ["move", "from", "to", "VM", "state", "wanted", "by", "reason"],
        (
            [
                move.id,
                move.from_pool_id,
                move.to_pool_id,
                move.vm_id,
                move.state.value,
                _format_optional_time(move.created_at),
                move.created_by,
                move.reason,
            ]
            for move in moves
        ),
    )


def describe_spare(spare: SpareAnswer) -> str:
    """Return the spare capacity as lines of labels and values."""
    return _format_lines(
        {
            "held": f"{spare.held} VMs",
            "needed": f"{spare.needed} VMs",
            "short": f"{spare.short} VMs",
            "for": f"{spare.largest_domain} ({spare.domain_vms} VMs)",
            "by pool": _format_counts(spare.held_by_pool),
            "by zone": _format_counts(spare.held_by_zone),
        }
    )


def _format_lines(values_by_label: Mapping[str, object]) -> str:
    return "\n".join(_iterate_lines(values_by_label))


def _iterate_lines(values_by_label: Mapping[str, object]) -> Iterator[str]:
    for label, value in values_by_label.items():
        if value not in (None, ""):
            yield f"{label:<{LABEL_WIDTH}} {format_value(value)}"


def _format_counts(counts: Mapping[Any, int]) -> str:
    return ", ".join(f"{name} {count}" for name, count in counts.items())


def _format_optional_time(at: float | None) -> str | None:
    return format_time(at) if at else None


def _format_cause(view: VMView) -> str | None:
    cause = view.record.cause
    return f"{cause.kind.value} {cause.id}" if cause else None


__all__ = [
    "describe_spare",
    "describe_vm",
    "describe_wave",
    "list_moves",
    "list_pools",
    "list_vms",
    "list_waves",
]
