"""Responses of the operator port, shared by the daemon and the command line."""

from __future__ import annotations

from enum import Enum

from msgspec import Struct

from medlarspring_adapters.decisions import Decision
from medlarspring_systems.table_edit import RowEdit
from medlarspring_tables import ConfigTable, EntryVMId, Revision
from medlarspring_tables.audit import AuditRecord, RowChange


class TableAnswer(Struct, frozen=True, kw_only=True):
    """The table and the source from which it was read."""

    table: ConfigTable
    from_store: bool
    """False if the store did not answer and this is the table in force."""
    entry_vm: EntryVMId
    warning: str = ""


class EditAnswer(Struct, frozen=True, kw_only=True):
    """An accepted edit."""

    revision: Revision
    changes: tuple[RowChange, ...]
    repeated: bool
    """True if the edit was accepted before under the same id."""
    entry_vm: EntryVMId


class PlanAnswer(Struct, frozen=True, kw_only=True):
    """Changes that an import would make; none has been applied yet."""

    revision: Revision
    """Table revision with which the import was compared."""
    rows: tuple[RowEdit, ...]
    changes: tuple[RowChange, ...]


class AuditAnswer(Struct, frozen=True, kw_only=True):
    """Audit records, oldest first."""

    records: tuple[AuditRecord, ...]
    next_before: Revision | None = None
    """Value of ``before`` that requests the next, older records."""


class ExplainAnswer(Struct, frozen=True, kw_only=True):
    """Decisions recorded by the entry VMs on a subject, oldest first."""

    decisions: tuple[Decision, ...]


class Health(Enum):
    """Health levels, from best to worst."""

    OK = "ok"
    DEGRADED = "degraded"
    STALE = "stale"
    PARTITIONED = "cut-off"


class Finding(Struct, frozen=True, kw_only=True):
    """Health of one dependency of an entry VM."""

    area: str
    health: Health
    detail: str
    since: float | None = None
    """Wall time of the change to this state; None when it isn't known."""


class PeerStatus(Struct, frozen=True, kw_only=True):
    """State of another entry VM, as observed by this one."""

    id: EntryVMId
    zone: str
    state: str
    heard_seconds_ago: float | None
    table_revision: Revision
    operator_address: str
    one_way: bool = False


class StatusAnswer(Struct, frozen=True, kw_only=True):
    """State of one entry VM, as reported by itself."""

    entry_vm: EntryVMId
    zone: str
    region: str
    at: float
    health: Health
    """The worst of the findings."""
    table_revision: Revision | None
    """None if no table is in force yet; callers' requests are then refused, not run."""
    stopping: bool
    findings: tuple[Finding, ...]
    peers: tuple[PeerStatus, ...]
    held_pools: tuple[str, ...]
    """Pools whose control work this entry VM performs."""
    store_calls: dict[str, int]
    """Calls since the start, by mechanism."""
    addresses: dict[str, str]


class Problem(Struct, frozen=True, kw_only=True):
    """A refusal; further members depend on ``code``."""

    status: int
    code: str
    detail: str
    type: str = ""
    title: str = ""


__all__ = [
    "AuditAnswer",
    "EditAnswer",
    "ExplainAnswer",
    "Finding",
    "Health",
    "PeerStatus",
    "PlanAnswer",
    "Problem",
    "StatusAnswer",
    "TableAnswer",
]
