"""All calls to one worker: start, stop and pace orders, and hold calls."""

from __future__ import annotations

from typing import TYPE_CHECKING

from medlarspring_adapters.background_tasks import BackgroundTasks
from medlarspring_adapters.worker_orders import WorkerAddress
from medlarspring_daemon.scheduling.hold_calls import HoldCalls
from medlarspring_daemon.scheduling.link_context import LinkContext
from medlarspring_daemon.scheduling.repeated_orders import RepeatedOrders
from medlarspring_daemon.scheduling.start_orders import StartOrders
from medlarspring_daemon.scheduling.stop_orders import StopOrders
from medlarspring_daemon.scheduling.worker_answers import WorkerAnswers

if TYPE_CHECKING:
    from medlarspring_daemon.scheduling.context import SchedulingNode
    from medlarspring_daemon.scheduling.election import Term
    from medlarspring_daemon.scheduling.link_owner import LinkOwner
    from medlarspring_tables.scheduling import Run, Worker


class WorkerLink:
    """Makes all calls to one worker during one leadership term."""

    def __init__(
        self, node: SchedulingNode, term: Term, owner: LinkOwner, worker: Worker
    ) -> None:
        self._node = node
        self._address = WorkerAddress(worker.id, worker.address)
        self._tasks = BackgroundTasks(node.log)
        context = LinkContext(node, term, owner, worker, self._address, self._tasks)
        orders = RepeatedOrders(
            node.clock,
            owner.order_times,
            owner.loop_delay,
            self._tasks,
            owner.handle_superseded,
        )
        self._stops = StopOrders(context, orders, self.poll)
        answers = WorkerAnswers(context, self._stops, self.poll)
        self._holds = HoldCalls(context, answers, owner.hold_times)
        self._starts = StartOrders(context, orders, answers, self._holds)

    def uses_address(self, address: str) -> bool:
        """Return whether calls go to this address."""
        return self._address.address == address

    def start(self) -> None:
        """Start the loop of hold calls."""
        self._holds.start()

    async def close(self) -> None:
        """Cancel all calls and close the connections."""
        await self._tasks.cancel()
        self._node.orders.close_connections(self._address)

    def poll(self) -> None:
        """Ask the worker for its runs and ends without delay."""
        self._holds.poll()

    def acknowledge_ends(self) -> None:
        """Acknowledge, with the next call, ends that job records in the store hold."""
        self._holds.acknowledge_ends()

    def send_start(self, run: Run) -> None:
        """Order the start of a run whose intent is recorded in the store."""
        self._starts.send(run)

    def send_stop(self, run: Run, reason: str) -> None:
        """Order the stop of a run; the order is repeated until its end is listed."""
        self._stops.send(run, reason)
        self._holds.wake()

    def send_pace(self, run: Run, percent: int) -> None:
        """Limit a run to a percentage of its full speed."""
        self._stops.send_pace(run, percent)


__all__ = ["WorkerLink"]
