"""Typed rows, ids, states and errors; no input or output."""

from __future__ import annotations

from medlarspring_tables.config import (
    ROW_TYPES_BY_KIND,
    AcceptedEdit,
    ConfigRow,
    ConfigTable,
    FleetRow,
    PartnerRow,
    PoolRow,
    RowKind,
    ServiceRow,
)
from medlarspring_tables.errors import MedlarspringError
from medlarspring_tables.fleet import ListedEntryVM, ListedState, ListedVM, VMList
from medlarspring_tables.ids import (
    EditId,
    EntryVMId,
    JobId,
    PartnerId,
    PoolId,
    RackId,
    RegionId,
    RequestId,
    Revision,
    Seconds,
    ServiceId,
    TaskId,
    VMId,
    WaveId,
    ZoneId,
)
from medlarspring_tables.members import Member, MemberState, MemberTable

__all__ = [
    "ROW_TYPES_BY_KIND",
    "AcceptedEdit",
    "ConfigRow",
    "ConfigTable",
    "EditId",
    "EntryVMId",
    "FleetRow",
    "JobId",
    "ListedEntryVM",
    "ListedState",
    "ListedVM",
    "MedlarspringError",
    "Member",
    "MemberState",
    "MemberTable",
    "PartnerId",
    "PartnerRow",
    "PoolId",
    "PoolRow",
    "RackId",
    "RegionId",
    "RequestId",
    "Revision",
    "RowKind",
    "Seconds",
    "ServiceId",
    "ServiceRow",
    "TaskId",
    "VMId",
    "VMList",
    "WaveId",
    "ZoneId",
]
