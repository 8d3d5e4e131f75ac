"""Moves VMs between pools and takes them down for maintenance."""

from __future__ import annotations

import asyncio
from functools import partial
from typing import TYPE_CHECKING, Protocol, TypeVar

import msgspec
from returns.pipeline import is_successful

from medlarspring_adapters.events import Event
from medlarspring_adapters.metrics import Metric
from medlarspring_adapters.store import Expect, Put, Transaction
from medlarspring_adapters.vm_lifecycle import Authority
from medlarspring_daemon.scheduling.election import LEASE_SECONDS
from medlarspring_daemon.scheduling.failure_log import Step
from medlarspring_daemon.scheduling.pool_log import PoolLog
from medlarspring_systems.scheduling.fleet import (
    FleetTables,
    MaintainVM,
    MoveVM,
    record_operation_done,
    record_operation_refused,
    record_operation_sent,
    record_wave_order,
)
from medlarspring_systems.scheduling.fleet_plan import plan_operations
from medlarspring_tables import PoolId, Revision, VMId, WaveId
from medlarspring_tables.scheduling import OperationsRecord, SizesRecord, WaveRecord

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from returns.result import Result

    from medlarspring_adapters.store import Committed, StoreError
    from medlarspring_daemon.scheduling.context import SchedulingNode
    from medlarspring_daemon.scheduling.election import Term
    from medlarspring_daemon.scheduling.operator_records import OperatorRecords
    from medlarspring_systems.scheduling.fleet import VMOperation, WaveProgress
    from medlarspring_tables import Seconds
    from medlarspring_tables.scheduling import Run, WorkTables

TICK_SECONDS = 0.2
MIN_PAUSE_SECONDS = 0.05
"""Shortest time between two planning passes."""
SEPARATION_MARGIN_SECONDS = 0.2
"""Added to the minimum times between the operations of two controllers."""
RETRY_SECONDS = 0.2
OPERATIONS_KEPT_SECONDS = 10.0
"""Older operations need no waiting time from the next controller and are dropped."""

Answer = TypeVar("Answer")


class VMManagerOwner(Protocol):
    """The part of the cell's controller that the VM manager uses."""

    tables: WorkTables

    def stop_run(self, run: Run, reason: str) -> None:
        """Order a run's worker to stop it."""
        ...

    def plan(self, pool_id: PoolId) -> None:
        """Schedule a placement round for a pool's waiting tasks."""
        ...

    def refresh_vm_list(self) -> None:
        """Request an early read of the VM list."""
        ...


class VMManager:
    """Plans and sends all operations on VMs during one leadership term.

    The platform does not check fences on these operations, so the operations of two
    controllers must be separated in time. Each operation is recorded in the store
    before it is sent, in a transaction that requires the controller's key, and only
    during its term. After an election, a previous controller that was paused,
    disconnected or lost its key can therefore send only operations named in its last
    record. Their VMs are not operated on until the separation that the platform
    requires has passed since the last moment at which it could send them.

    All other VMs may be moved at once: waiting for the previous controller's whole
    lease delayed each takeover by 1.6 s, during which a pool with a burst got no VMs.
    Maintenance does wait for it, because a wave's limit applies to all of its VMs.
    """

    def __init__(
        self,
        node: SchedulingNode,
        term: Term,
        operator_records: OperatorRecords,
        owner: VMManagerOwner,
    ) -> None:
        self._node = node
        self._term = term
        self._operator_records = operator_records
        self._owner = owner
        self.fleet = FleetTables()
        self._maintenance_allowed_at: Seconds = (
            term.began_at + LEASE_SECONDS + SEPARATION_MARGIN_SECONDS
        )
        self._moves_allowed_at: Seconds = term.began_at
        self._sent_ms_by_vm: dict[str, int] = {}
        self._operations_revision = Revision(0)
        """Store revision of the operations record; 0 before the first one."""
        self._sizes_recorded = False
        self._pool_log = PoolLog(node)
        self._early_pass_due = asyncio.Event()
        """Set when the next planning pass must not wait for the tick."""
        self._late_vms = 0
        """Number of late VMs that the metrics show."""

    async def run(self) -> None:
        """Plan and carry out operations until cancelled."""
        await self._load_waves()
        await self._load_sizes()
        await self._load_operations()
        while True:
            await self._reconcile()
            await asyncio.sleep(MIN_PAUSE_SECONDS)
            await self._wait_for_tick()

    def plan_moves_soon(self) -> None:
        """Plan early, as the next long-running task may move for a wave."""
        self._early_pass_due.set()

    async def _wait_for_tick(self) -> None:
        try:
            async with asyncio.timeout(TICK_SECONDS - MIN_PAUSE_SECONDS):
                await self._early_pass_due.wait()
        except TimeoutError:
            return
        finally:
            self._early_pass_due.clear()

    async def _load_waves(self) -> None:
        prefix = self._term.keys.waves_prefix
        listing = await self._read_with_retry(
            lambda: self._node.store.read_prefix(prefix)
        )
        for entry in listing.entries:
            wave_id = entry.key.removeprefix(prefix)
            record = self._node.unreadable.decode(entry, WaveRecord)
            if record is None:
                # Its VMs are maintained again. That delays the wave, but skips no VM.
                continue
            self.fleet.done_by_wave[WaveId(wave_id)] = {
                VMId(vm_id) for vm_id in record.begun
            }

    async def _load_sizes(self) -> None:
        """Load the pools' first sizes, if a previous controller recorded them."""
        key = self._term.keys.sizes
        entry = await self._read_with_retry(lambda: self._node.store.read(key))
        if entry is None:
            return
        record = self._node.unreadable.decode(entry, SizesRecord)
        if record is not None:
            self.fleet.initial_sizes = {
                PoolId(pool): vms for pool, vms in record.vms_by_pool.items()
            }
            self._sizes_recorded = True
            self.fleet.initial_sizes_known = True

    async def _load_operations(self) -> None:
        """Block operations on the VMs that previous controllers operated on lately.

        If the record cannot be read, all operations wait for the full separation.
        """
        key = self._term.keys.operations
        entry = await self._read_with_retry(lambda: self._node.store.read(key))
        if entry is None:
            return
        self._operations_revision = entry.mod_revision
        record = self._node.unreadable.decode(entry, OperationsRecord)
        if record is None:
            self._moves_allowed_at = (
                self._maintenance_allowed_at + self._get_separation()
            )
            self._maintenance_allowed_at = self._moves_allowed_at
            return
        # This controller's record replaces the loaded one, and the next controller
        # reads only the latest record.
        self._sent_ms_by_vm = dict(record.sent_ms_by_vm)
        now, wall_ms = self._node.clock.now(), self._node.clock.wall() * 1_000
        separation = LEASE_SECONDS + self._get_separation()
        for vm, sent_ms in record.sent_ms_by_vm.items():
            elapsed = max(wall_ms - sent_ms, 0.0) / 1_000.0
            self.fleet.refused_until[VMId(vm)] = now + separation - elapsed

    async def _read_with_retry(
        self, read: Callable[[], Awaitable[Result[Answer, StoreError]]]
    ) -> Answer:
        """Repeat a read from the store until it succeeds."""
        while True:
            answer = await read()
            if is_successful(answer):
                return answer.unwrap()
            await asyncio.sleep(RETRY_SECONDS)

    def _get_separation(self) -> Seconds:
        """Return the minimum time between two controllers' operations on one VM."""
        return self._node.limits.vm_lease + SEPARATION_MARGIN_SECONDS

    async def _record_sizes(self) -> None:
        if self._sizes_recorded or not self.fleet.initial_sizes_known:
            return
        sizes = {str(pool): vms for pool, vms in self.fleet.initial_sizes.items()}
        put = Put(
            self._term.keys.sizes, msgspec.json.encode(SizesRecord(vms_by_pool=sizes))
        )
        answer = await self._node.store.commit(
            Transaction((self._term.expect(),), (put,))
        )
        self._sizes_recorded = is_successful(answer) and answer.unwrap().succeeded

    async def _reconcile(self) -> None:
        if not self._term.is_active():
            return
        now, attempt = self._node.clock.now(), self._node.failures.attempt
        for order, seen_at in self._operator_records.waves_by_key.values():
            attempt(Step.VM_PLAN, record_wave_order, self.fleet, order, seen_at)
        plan = plan_operations(
            self._owner.tables,
            self.fleet,
            self._node.limits,
            now,
            partial(attempt, Step.VM_PLAN),
        )
        await self._record_sizes()
        attempt(Step.VM_REPORT, self._pool_log.record, self._owner.tables, self.fleet)
        attempt(Step.VM_REPORT, self._report_forecasts, plan.changed_forecasts)
        for run, reason in plan.stops:
            attempt(Step.VM_OPERATION, self._owner.stop_run, run, reason)
        for pool_id in plan.changed_pools:
            self._owner.plan(pool_id)
        operations = [each for each in plan.operations if now >= self._find_start(each)]
        if operations:
            await self._execute(operations)
        for wave in plan.to_report:
            await self._report_wave(wave)

    def _find_start(self, operation: VMOperation) -> Seconds:
        """Return the time from which an operation may be sent in this term."""
        is_move = isinstance(operation, MoveVM)
        return self._moves_allowed_at if is_move else self._maintenance_allowed_at

    def _report_forecasts(self, changed: list[WaveProgress]) -> None:
        """Log the waves that are newly late or on time, and count the late VMs."""
        waves = self.fleet.waves_by_id.values()
        late_vms = sum(len(wave.forecast.late) for wave in waves if not wave.complete)
        if late_vms != self._late_vms:
            self._late_vms = late_vms
            self._node.metrics.gauge(Metric.WAVES_LATE_VMS, late_vms)
        now = self._node.clock.now()
        for wave in changed:
            log = self._node.log.warning if wave.is_late else self._node.log.info
            log(
                Event.WAVE_LATE if wave.is_late else Event.WAVE_ON_TIME,
                wave=wave.id,
                left=len(wave.order.vm_ids) - len(wave.done),
                late=len(wave.forecast.late),
                max_at_once=wave.order.max_at_once,
                ends_in_s=round(wave.forecast.ends_in, 1),
                deadline_in_s=round(wave.deadline_at - now, 1),
                obstacle=wave.forecast.obstacle.value,
            )

    async def _execute(self, operations: list[VMOperation]) -> None:
        now = self._node.clock.now()
        for operation in operations:
            record_operation_sent(self._owner.tables, self.fleet, operation, now)
        if not await self._record_operations(operations):
            for operation in operations:
                self._record_refused(operation)
            return
        await asyncio.gather(*(self._send_or_report(each) for each in operations))
        self._owner.refresh_vm_list()

    async def _record_operations(self, operations: list[VMOperation]) -> bool:
        """Record the operations about to be sent and the progress of their waves.

        Returns whether the record was written. The transaction also verifies, right
        before the operations are sent, that this process still controls the cell. It
        requires the revision of the record that it replaces, because an unanswered
        write may be applied seconds later and would overwrite a newer record.
        """
        puts: dict[str, Put] = {}
        for operation in operations:
            if isinstance(operation, MaintainVM):
                put = self._encode_wave(operation.wave_id)
                puts[put.key] = put
        key = self._term.keys.operations
        puts[key] = Put(key, msgspec.json.encode(self._add_sent(operations)))
        expects = (self._term.expect(), Expect(key, self._operations_revision))
        transaction = Transaction(
            expects, tuple(puts.values()), tuple(each.key for each in expects)
        )
        answer = await self._node.store.commit(transaction)
        if not is_successful(answer):
            return False
        committed = answer.unwrap()
        if committed.succeeded:
            self._operations_revision = committed.revision
        else:
            self._handle_conflict(committed)
        return committed.succeeded

    def _handle_conflict(self, committed: Committed) -> None:
        """After a refused write, end the term or update the operations revision.

        The term ends if another process controls the cell.
        """
        if not self._term.check_still_holder(committed):
            return
        found = committed.read_by_key.get(self._term.keys.operations)
        self._operations_revision = found.mod_revision if found else Revision(0)

    def _encode_wave(self, wave_id: WaveId) -> Put:
        begun = self.fleet.done_by_wave.get(wave_id, set())
        record = WaveRecord(begun=tuple(sorted(begun)))
        key = f"{self._term.keys.waves_prefix}{wave_id}"
        return Put(key, msgspec.json.encode(record))

    def _add_sent(self, operations: list[VMOperation]) -> OperationsRecord:
        wall_ms = round(self._node.clock.wall() * 1_000)
        oldest = wall_ms - round(OPERATIONS_KEPT_SECONDS * 1_000)
        kept = {vm: at for vm, at in self._sent_ms_by_vm.items() if at > oldest}
        kept |= {str(operation.vm_id): wall_ms for operation in operations}
        self._sent_ms_by_vm = kept
        return OperationsRecord(sent_ms_by_vm=kept)

    async def _send_or_report(self, operation: VMOperation) -> None:
        try:
            await self._send(operation)
        except Exception:
            # As without an answer, the operation may be carried out.
            self._node.failures.report(Step.VM_OPERATION)

    async def _send(self, operation: VMOperation) -> None:
        if not self._term.is_active():
            self._record_refused(operation)
            return
        authority = Authority(self._node.id, self._term.fence)
        lifecycle = self._node.lifecycle
        if isinstance(operation, MoveVM):
            answer = await lifecycle.move(operation.vm_id, operation.pool_id, authority)
        else:
            answer = await lifecycle.maintain(
                operation.vm_id, operation.wave_id, authority
            )
        self._handle_answer(operation, answer)

    def _handle_answer(self, operation: VMOperation, answer) -> None:  # type: ignore[no-untyped-def]
        fields = operation.describe()
        if not is_successful(answer):
            error = answer.failure()
            self._node.log.warning(
                Event.VM_OPERATION_UNANSWERED, fault=error.message(), **fields
            )
            if not error.may_follow:
                self._record_refused(operation)
            return
        refusal = answer.unwrap()
        if refusal is None:
            record_operation_done(self.fleet, operation)
            is_move = isinstance(operation, MoveVM)
            metric = Metric.VMS_MOVED if is_move else Metric.VMS_MAINTAINED
            self._node.metrics.count(metric)
            self._node.log.info(
                Event.VM_OPERATION_DONE, fence=self._term.fence, **fields
            )
            return
        self._node.log.warning(
            Event.VM_OPERATION_REFUSED, refusal=refusal.value, **fields
        )
        self._record_refused(operation)

    def _record_refused(self, operation: VMOperation) -> None:
        now = self._node.clock.now()
        record_operation_refused(self._owner.tables, self.fleet, operation, now)

    async def _report_wave(self, wave: WaveProgress) -> None:
        complete = wave.complete
        key, value = self._node.codec.encode_wave_status(wave.id, complete=complete)
        # The wave's VMs are written in the same transaction. Otherwise the next
        # controller could miss the last one and report a complete wave as active.
        writes = (Put(key, value), self._encode_wave(wave.id))
        # A report that is applied late must not overwrite a wave record that names
        # operations sent since.
        operations = Expect(self._term.keys.operations, self._operations_revision)
        expects = (self._term.expect(), operations)
        transaction = Transaction(expects, writes, tuple(each.key for each in expects))
        answer = await self._node.store.commit(transaction)
        if is_successful(answer) and not answer.unwrap().succeeded:
            self._handle_conflict(answer.unwrap())
        elif is_successful(answer):
            wave.reported = complete
            wave.announced = True
            self._node.log.info(
                Event.WAVE_REPORTED,
                wave=wave.id,
                complete=complete,
                done=len(wave.done),
            )


__all__ = ["VMManagerOwner", "VMManager"]
