"""Orders to workers over the platform's HTTP interface."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, TypeVar

import msgspec
from msgspec import Struct
from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from medlarspring_adapters.decoding import decode_json
from medlarspring_adapters.http_channel import (
    HttpAnswer,
    HttpChannel,
    NoOpenConnection,
    NotSent,
    Unanswered,
)
from medlarspring_adapters.worker_orders import (
    HoldAnswer,
    HoldOrder,
    OrderAnswer,
    OrderRefusal,
    PaceOrder,
    StartOrder,
    StopOrder,
    WorkerAddress,
    WorkerUnresponsive,
)
from medlarspring_platform import wire
from medlarspring_tables.bounds import MAX_WHOLE, Whole
from medlarspring_tables.scheduling import EndedRow, RunEnd, RunningRow, WorkerId

if TYPE_CHECKING:
    from medlarspring_tables import Seconds

MAX_CONNECTIONS = 12
"""Per worker; the platform charges for each new connection, and bursts of starts are
rarely larger."""
HOLD_CONNECTIONS = 1
"""With a second connection, an acknowledgement could reach an incarnation of the
worker that has not listed its ends yet."""

_ENDS_BY_NAME = {
    "done": RunEnd.DONE,
    "failed": RunEnd.FAILED,
    "stopped": RunEnd.STOPPED,
    "lapsed": RunEnd.LAPSED,
    "broken": RunEnd.GANG_BROKEN,
    "alone": RunEnd.GANG_INCOMPLETE,
}
_REFUSALS_BY_REASON = {
    "fence": OrderRefusal.FENCE,
    "old": OrderRefusal.OLD,
    "late": OrderRefusal.LATE,
    "room": OrderRefusal.ROOM,
    "ticket": OrderRefusal.TICKET,
}
_REFUSALS_BY_STATUS = {
    400: OrderRefusal.INVALID,
    421: OrderRefusal.OTHER_WORKER,
    429: OrderRefusal.UNHEALTHY,
    503: OrderRefusal.UNHEALTHY,
}
HTTP_OK = 200
HTTP_CONFLICT = 409


class WireStart(Struct, rename="camel", omit_defaults=True):
    """A start; ``untilMs`` is the order's time limit and extends the lease."""

    task: str
    run: int
    spec: str
    until_ms: int
    fence: int
    checkpointed: str = ""
    ticket: str = ""


class WireStop(Struct):
    """A stop."""

    task: str
    run: int
    fence: int


class WirePace(Struct):
    """A change of a run's speed."""

    task: str
    run: int
    percent: int
    fence: int


class WireHold(Struct, rename="camel", omit_defaults=True):
    """An extension of the lease."""

    fence: int
    ack_cursor: int
    until_ms: int = 0
    wait_ms: int = 0


class WireOrderAnswer(Struct, rename="camel"):
    """A worker's answer to an order."""

    clock_ms: Whole = 0
    reason: str = ""


class WireHoldAnswer(Struct, rename="camel"):
    """Running and ended runs; rows are lists, see ``_to_running``, ``_to_ended``."""

    clock_ms: Whole = 0
    reason: str = ""
    running: list[list[str | int | float]] = []
    finished: list[tuple[Whole, str, Whole, str, str]] = []
    born: Whole = 0


Message = TypeVar("Message", bound=Struct)


class PlatformWorkers:
    """Implements ``WorkerOrders`` over the platform's HTTP interface."""

    def __init__(self) -> None:
        self._channels_by_id: dict[WorkerId, HttpChannel] = {}
        self._holds_by_id: dict[WorkerId, HttpChannel] = {}
        """Connections reserved for hold calls, which are made one at a time."""

    async def start(
        self, worker: WorkerAddress, order: StartOrder, timeout_seconds: Seconds
    ) -> Result[OrderAnswer, WorkerUnresponsive]:
        """Start a run."""
        body = WireStart(
            task=order.task_id,
            run=order.run,
            spec=order.payload,
            until_ms=order.not_after_ms,
            fence=order.fence,
            checkpointed=order.checkpoint,
            ticket=order.ticket,
        )
        return await self._order(worker, wire.RUN_START_PATH, body, timeout_seconds)

    async def stop(
        self, worker: WorkerAddress, order: StopOrder, timeout_seconds: Seconds
    ) -> Result[OrderAnswer, WorkerUnresponsive]:
        """Stop a run."""
        body = WireStop(order.task_id, order.run, order.fence)
        return await self._order(worker, wire.RUN_STOP_PATH, body, timeout_seconds)

    async def pace(
        self, worker: WorkerAddress, order: PaceOrder, timeout_seconds: Seconds
    ) -> Result[OrderAnswer, WorkerUnresponsive]:
        """Change a run's speed."""
        body = WirePace(order.task_id, order.run, order.percent, order.fence)
        return await self._order(worker, wire.PACE_PATH, body, timeout_seconds)

    async def hold(
        self, worker: WorkerAddress, order: HoldOrder, timeout_seconds: Seconds
    ) -> Result[HoldAnswer, WorkerUnresponsive]:
        """Extend the lease and ask for the state."""
        body = WireHold(
            order.fence, order.acknowledged, order.lease_until_ms, order.wait_ms
        )
        try:
            reply = await self._call_hold(worker, order, body, timeout_seconds)
            content = _to_hold_answer(reply, body.ack_cursor)
        except NotSent as error:
            return Failure(WorkerUnresponsive(worker.id, str(error), may_follow=False))
        except Unanswered as error:
            return Failure(WorkerUnresponsive(worker.id, str(error), may_follow=True))
        except ValueError as error:
            detail = f"unreadable rows ({error})"
            return Failure(WorkerUnresponsive(worker.id, detail, may_follow=True))
        return Success(content)

    async def _call_hold(
        self,
        worker: WorkerAddress,
        order: HoldOrder,
        body: WireHold,
        timeout_seconds: Seconds,
    ) -> HttpAnswer:
        """Make the call, without the acknowledgement if it needs a new connection."""
        if order.is_concurrent:
            body.ack_cursor = 0
            return await self._call(worker, wire.HOLD_PATH, body, timeout_seconds)
        channel = self._find_hold_channel(worker)
        if body.ack_cursor:
            try:
                return await _post(
                    channel,
                    worker,
                    wire.HOLD_PATH,
                    body,
                    timeout_seconds,
                    reuse_only=True,
                )
            except NoOpenConnection:
                body.ack_cursor = 0
        return await _post(channel, worker, wire.HOLD_PATH, body, timeout_seconds)

    def close_connections(self, worker: WorkerAddress) -> None:
        """Close the connections to a terminated worker in the background."""
        for channels_by_id in (self._channels_by_id, self._holds_by_id):
            channel = channels_by_id.pop(worker.id, None)
            if channel is not None:
                channel.retire()

    async def close(self) -> None:
        """Close all connections."""
        channels = [*self._channels_by_id.values(), *self._holds_by_id.values()]
        self._channels_by_id.clear()
        self._holds_by_id.clear()
        await asyncio.gather(*(channel.close() for channel in channels))

    async def _order(
        self, worker: WorkerAddress, path: str, body: Struct, timeout_seconds: Seconds
    ) -> Result[OrderAnswer, WorkerUnresponsive]:
        try:
            reply = await self._call(worker, path, body, timeout_seconds)
            answer = _decode(reply, WireOrderAnswer)
        except NotSent as error:
            return Failure(WorkerUnresponsive(worker.id, str(error), may_follow=False))
        except Unanswered as error:
            return Failure(WorkerUnresponsive(worker.id, str(error), may_follow=True))
        refusal = _find_refusal(reply.status, answer.reason)
        return Success(OrderAnswer(answer.clock_ms, refusal))

    async def _call(
        self, worker: WorkerAddress, path: str, body: Struct, timeout_seconds: Seconds
    ) -> HttpAnswer:
        channel = self._channels_by_id.get(worker.id)
        if channel is None or channel.address != worker.address:
            channel = HttpChannel(worker.address, MAX_CONNECTIONS)
            self._channels_by_id[worker.id] = channel
        return await _post(channel, worker, path, body, timeout_seconds)

    def _find_hold_channel(self, worker: WorkerAddress) -> HttpChannel:
        channel = self._holds_by_id.get(worker.id)
        if channel is None or channel.address != worker.address:
            channel = HttpChannel(
                worker.address, HOLD_CONNECTIONS, allows_reuse_only=True
            )
            self._holds_by_id[worker.id] = channel
        return channel


async def _post(
    channel: HttpChannel,
    worker: WorkerAddress,
    path: str,
    body: Struct,
    timeout_seconds: Seconds,
    *,
    reuse_only: bool = False,
) -> HttpAnswer:
    # The address may belong to another worker by now; the header prevents that
    # worker from executing an order meant for the previous one.
    headers = {wire.EXPECTED_INSTANCE_HEADER: worker.id}
    return await channel.call(
        "POST",
        path,
        timeout_seconds,
        msgspec.json.encode(body),
        headers,
        reuse_only=reuse_only,
    )


def _decode(reply: HttpAnswer, message_type: type[Message]) -> Message:
    if reply.status in _REFUSALS_BY_STATUS:
        return message_type()
    if reply.status not in (HTTP_OK, HTTP_CONFLICT):
        raise Unanswered(f"HTTP status {reply.status}")
    decoded = decode_json(reply.body, message_type)
    if not is_successful(decoded):
        raise Unanswered(f"unreadable answer ({decoded.failure().detail})")
    return decoded.unwrap()


def _find_refusal(status: int, reason: str) -> OrderRefusal | None:
    if status == HTTP_OK:
        return None
    if status == HTTP_CONFLICT:
        return _REFUSALS_BY_REASON.get(reason, OrderRefusal.INVALID)
    return _REFUSALS_BY_STATUS.get(status, OrderRefusal.INVALID)


def _to_hold_answer(reply: HttpAnswer, acknowledged: int) -> HoldAnswer:
    answer = _decode(reply, WireHoldAnswer)
    return HoldAnswer(
        clock_ms=answer.clock_ms,
        refusal=_find_refusal(reply.status, answer.reason),
        running=tuple(_to_running(row) for row in answer.running),
        ended=tuple(_to_ended(row) for row in answer.finished),
        born_ms=answer.born,
        acknowledged=acknowledged,
    )


def _to_running(row: list[str | int | float]) -> RunningRow:
    """Decode [task, run, saved, percent] with an optional fifth entry, the gauge."""
    task, run, saved, percent = row[:4]
    gauge = row[4] if len(row) > 4 else 0  # noqa: PLR2004
    return RunningRow(
        task_id=str(task),
        run=_to_whole(run),
        checkpoint=str(saved),
        percent=_clamp(percent),
        gauge=_clamp(gauge),
    )


def _to_whole(value: str | float) -> int:
    """Return a number of a row; raises ``ValueError`` for one out of bounds."""
    number = int(value)
    if abs(number) > MAX_WHOLE:
        raise ValueError("a number is out of bounds")
    return number


def _clamp(value: str | float) -> int:
    """Return a measured number of a row, the nearest in bounds.

    An answer that is rejected for it would make the worker's runs count as lost.
    """
    return max(-MAX_WHOLE, min(MAX_WHOLE, int(value)))


def _to_ended(row: tuple[int, str, int, str, str]) -> EndedRow:
    """Decode [N, task, run, how, saved]."""
    number, task, run, how, saved = row
    # An unknown end counts as a stop: the task runs again and no attempt is used up.
    end = _ENDS_BY_NAME.get(how, RunEnd.STOPPED)
    return EndedRow(number=number, task_id=task, run=run, end=end, checkpoint=saved)


__all__ = ["PlatformWorkers"]
