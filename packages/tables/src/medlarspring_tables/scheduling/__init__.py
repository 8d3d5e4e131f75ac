"""Rows of the scheduling of jobs on workers: specs, records, work and fleet."""

from __future__ import annotations

from medlarspring_tables.scheduling.fleet import (
    OperatorConfig,
    PoolPolicy,
    Room,
    Route,
    VMEntry,
    VMPhase,
    WaveOrder,
    WorkerCondition,
    WorkerEntry,
)
from medlarspring_tables.scheduling.ids import (
    CellId,
    Fence,
    Milliseconds,
    QueueId,
    WorkerId,
)
from medlarspring_tables.scheduling.limits import FleetLimits
from medlarspring_tables.scheduling.records import (
    CancelRecord,
    ControllerRecord,
    JobOutcome,
    JobRecord,
    OperationsRecord,
    ProgressRecord,
    RunRecord,
    SizesRecord,
    StepRecord,
    WaveRecord,
)
from medlarspring_tables.scheduling.reports import EndedRow, RunningRow
from medlarspring_tables.scheduling.specs import (
    AdvicePolicy,
    JobSpec,
    QueuePolicy,
    StepSpec,
)
from medlarspring_tables.scheduling.work import (
    ActiveJob,
    ArrivalMeter,
    Run,
    RunEnd,
    RunState,
    StepRun,
    Task,
    Worker,
    WorkerDoubt,
    WorkTables,
)

__all__ = [
    "ActiveJob",
    "AdvicePolicy",
    "ArrivalMeter",
    "CancelRecord",
    "CellId",
    "ControllerRecord",
    "EndedRow",
    "Fence",
    "FleetLimits",
    "JobOutcome",
    "JobRecord",
    "JobSpec",
    "Milliseconds",
    "OperationsRecord",
    "OperatorConfig",
    "PoolPolicy",
    "ProgressRecord",
    "QueueId",
    "QueuePolicy",
    "Room",
    "Route",
    "Run",
    "RunEnd",
    "RunRecord",
    "RunState",
    "RunningRow",
    "SizesRecord",
    "StepRecord",
    "StepRun",
    "StepSpec",
    "Task",
    "VMEntry",
    "VMPhase",
    "WaveOrder",
    "WaveRecord",
    "WorkTables",
    "Worker",
    "WorkerCondition",
    "WorkerDoubt",
    "WorkerEntry",
    "WorkerId",
]
