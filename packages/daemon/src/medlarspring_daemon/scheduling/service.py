"""Starts and stops all scheduling services of one process, in order."""

from __future__ import annotations

from typing import TYPE_CHECKING

from medlarspring_adapters.background_tasks import BackgroundTasks
from medlarspring_daemon.scheduling.controller import CellController
from medlarspring_daemon.scheduling.election import Election
from medlarspring_daemon.scheduling.intake import Intake
from medlarspring_daemon.scheduling.operator_records import OperatorRecords
from medlarspring_daemon.scheduling.store_monitor import StoreMonitor

if TYPE_CHECKING:
    from medlarspring_daemon.scheduling.context import SchedulingNode
    from medlarspring_daemon.scheduling.election import Controller, Term
    from medlarspring_tables.scheduling import WorkTables

NOT_READY_AFTER_SECONDS = 1.0
"""An entry VM reports itself not ready after the store has failed for this long."""


class SchedulingService:
    """Accepts jobs, and controls the cells that this process holds."""

    def __init__(self, node: SchedulingNode) -> None:
        self._node = node
        self._tasks = BackgroundTasks(node.log)
        self.operator_records = OperatorRecords(node)
        self.intake = Intake(node, self.operator_records)
        self._elections = [
            Election(node, cell_id, self._may_control, self._create_controller)
            for cell_id in node.cells
        ]

    async def start(self) -> None:
        """Watch the operator's records and take part in the elections."""
        self._tasks.run_with_restart(
            StoreMonitor(self._node, self.operator_records).run
        )
        await self.operator_records.start()
        for election in self._elections:
            await election.start()

    async def stop(self) -> None:
        """Release the held cells, then stop all watches."""
        for election in self._elections:
            await election.stop()
        await self.operator_records.stop()
        await self.intake.stop()
        await self._tasks.cancel()

    def is_ready(self) -> bool:
        """Return whether this entry VM should receive calls."""
        if self._node.stopping or self.operator_records.config is None:
            return False
        failing_since = self._node.store_health.failing_since
        if failing_since is None:
            return True
        return self._node.clock.now() - failing_since < NOT_READY_AFTER_SECONDS

    def is_controlling(self) -> bool:
        """Return whether this process holds an active term, by its own clock."""
        return any(
            election.term is not None and election.term.is_active()
            for election in self._elections
        )

    def list_tables(self) -> list[WorkTables]:
        """Return the tables of the cells that this process controls."""
        return [
            election.controller.tables
            for election in self._elections
            if election.controller is not None
        ]

    def _may_control(self) -> bool:
        return self.operator_records.config is not None and not self._node.stopping

    def _create_controller(self, term: Term) -> Controller:
        return CellController(self._node, self.operator_records, term)


def create_scheduling_service(node: SchedulingNode) -> SchedulingService:
    """Return the service; it does nothing until it is started."""
    return SchedulingService(node)


__all__ = ["SchedulingService", "create_scheduling_service"]
