"""All of scheduling in one process, in the order in which it starts."""

from __future__ import annotations

from typing import TYPE_CHECKING

from medlarspring_daemon.scheduling.controller import CellController
from medlarspring_daemon.scheduling.election import Election
from medlarspring_daemon.scheduling.intake import Intake
from medlarspring_daemon.scheduling.operator_records import OperatorRecords
from medlarspring_daemon.scheduling.store_monitor import StoreMonitor
from medlarspring_daemon.tasks import Tasks

if TYPE_CHECKING:
    from medlarspring_daemon.scheduling.context import SchedulingNode
    from medlarspring_daemon.scheduling.election import Tenure, Term
    from medlarspring_tables.scheduling import WorkTables

READY_SILENCE_SECONDS = 1.0
"""An entry VM that the store fails for so long takes itself out of rotation."""


class SchedulingService:
    """Accepts jobs, and controls the cells that this process holds."""

    def __init__(self, node: SchedulingNode) -> None:
        self._node = node
        self._tasks = Tasks(node.log)
        self.directory = OperatorRecords(node)
        self.intake = Intake(node)
        self._elections = [
            Election(node, cell_id, self._may_control, self._create_term)
            for cell_id in node.cells
        ]

    async def start(self) -> None:
        """Follow the operator's records and stand for election."""
        self._tasks.keep(StoreMonitor(self._node).run)
        await self.directory.start()
        for election in self._elections:
            await election.start()

    async def stop(self) -> None:
        """Hand over what is held, then end all watches."""
        for election in self._elections:
            await election.stop()
        await self.directory.stop()
        await self._tasks.cancel()

    def is_ready(self) -> bool:
        """Tell whether this entry VM should get callers."""
        if self._node.stopping or self.directory.config is None:
            return False
        failing_since = self._node.store_health.failing_since
        if failing_since is None:
            return True
        return self._node.clock.now() - failing_since < READY_SILENCE_SECONDS

    def is_controlling(self) -> bool:
        """Tell whether this process controls a cell, by its own belief."""
        return any(
            election.tenure is not None and election.tenure.holds()
            for election in self._elections
        )

    def list_tables(self) -> list[WorkTables]:
        """Return what this process knows of the cells that it controls."""
        return [
            election.term.tables
            for election in self._elections
            if election.term is not None
        ]

    def _may_control(self) -> bool:
        return self.directory.config is not None and not self._node.stopping

    def _create_term(self, tenure: Tenure) -> Term:
        return CellController(self._node, self.directory, tenure)


def create_scheduling_service(node: SchedulingNode) -> SchedulingService:
    """Return the service; it does nothing until it is started."""
    return SchedulingService(node)


__all__ = ["SchedulingService", "create_scheduling_service"]
