"""Store keys of jobs, their progress, cells and their controllers."""

from __future__ import annotations

import zlib
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

from medlarspring_tables import JobId

if TYPE_CHECKING:
    from medlarspring_tables.scheduling import CellId

CONTROLLERS_PREFIX = "controllers/"
MAX_KEY_BYTES = 200


class InboxKind(Enum):
    """Kinds of records that an entry VM writes to a cell's inbox."""

    JOB = "job"
    CANCEL = "cancel"


@dataclass(frozen=True, slots=True)
class CellKeys:
    """Store keys of one cell."""

    cell_id: CellId

    @property
    def controller(self) -> str:
        """Key of the cell's controller, attached to its lease."""
        return f"{CONTROLLERS_PREFIX}{self.cell_id}"

    @property
    def inbox_prefix(self) -> str:
        """Prefix of accepted jobs and cancellation requests."""
        return f"inbox/{self.cell_id}/"

    @property
    def progress_prefix(self) -> str:
        """Prefix of the progress of jobs that have started."""
        return f"progress/{self.cell_id}/"

    @property
    def load(self) -> str:
        """Key of the controller's counts of waiting jobs by queue."""
        return f"load/{self.cell_id}"

    @property
    def usage(self) -> str:
        """Key of the partners' recent use."""
        return f"usage/{self.cell_id}"

    @property
    def waves_prefix(self) -> str:
        """Prefix of the progress of maintenance waves."""
        return f"waves/{self.cell_id}/"

    @property
    def operations(self) -> str:
        """Key of the record of the last operations sent to VMs."""
        return f"operations/{self.cell_id}"

    @property
    def sizes(self) -> str:
        """Key of the initial sizes of the pools."""
        return f"sizes/{self.cell_id}"

    def job(self, job_id: JobId) -> str:
        """Key of a job's record."""
        return f"{self.inbox_prefix}{InboxKind.JOB.value}/{job_id}"

    def cancel(self, job_id: JobId) -> str:
        """Key of a request to cancel a job."""
        return f"{self.inbox_prefix}{InboxKind.CANCEL.value}/{job_id}"

    def progress(self, job_id: JobId) -> str:
        """Key of a job's progress."""
        return f"{self.progress_prefix}{job_id}"

    def parse_inbox(self, key: str) -> tuple[InboxKind, JobId] | None:
        """Return the kind and job id of an inbox key; None for any other key."""
        kind, _, job_id = key.removeprefix(self.inbox_prefix).partition("/")
        if kind == InboxKind.JOB.value:
            return InboxKind.JOB, JobId(job_id)
        if kind == InboxKind.CANCEL.value:
            return InboxKind.CANCEL, JobId(job_id)
        return None


def find_cell(job_id: JobId, cell_ids: tuple[CellId, ...]) -> CellId:
    """Return the cell of a job, the same on every entry VM."""
    return cell_ids[zlib.crc32(job_id.encode()) % len(cell_ids)]


__all__ = ["CONTROLLERS_PREFIX", "CellKeys", "InboxKind", "find_cell"]
