"""Identifiers and units shared by every table."""

from __future__ import annotations

from typing import NewType

from medlarspring_tables.bounds import Real, StoreNumber

VMId = NewType("VMId", str)
EntryVMId = NewType("EntryVMId", str)
PoolId = NewType("PoolId", str)
PartnerId = NewType("PartnerId", str)
ServiceId = NewType("ServiceId", str)
RackId = NewType("RackId", str)
ZoneId = NewType("ZoneId", str)
RegionId = NewType("RegionId", str)
JobId = NewType("JobId", str)
TaskId = NewType("TaskId", str)
WaveId = NewType("WaveId", str)
RequestId = NewType("RequestId", str)
EditId = NewType("EditId", str)

Revision = NewType("Revision", StoreNumber)
"""A revision of the store or of the configuration table; larger is newer."""

Seconds = Real
"""Seconds of the injected monotonic clock, or a duration in seconds."""

__all__ = [
    "EditId",
    "EntryVMId",
    "JobId",
    "PartnerId",
    "PoolId",
    "RackId",
    "RegionId",
    "RequestId",
    "Revision",
    "Seconds",
    "ServiceId",
    "TaskId",
    "VMId",
    "WaveId",
    "ZoneId",
]
