"""Carries out decisions on VMs: writes the intent, then requests the action."""

from __future__ import annotations

from contextlib import suppress
from typing import TYPE_CHECKING

from returns.result import Success

from medlarspring_adapters.decisions import Subject
from medlarspring_adapters.entry_attempts import EntriesNotApplied
from medlarspring_adapters.events import Event
from medlarspring_adapters.fleet_records import (
    TYPES_BY_PREFIX,
    apply_entry,
    apply_listing,
    encode_record,
)
from medlarspring_adapters.store import (
    Delete,
    Expect,
    Put,
    StoreOutcomeUnknown,
    Transaction,
)
from medlarspring_adapters.unreadable_records import UnreadableRecords
from medlarspring_adapters.vm_control import VMActionRefused
from medlarspring_systems.draft import DecisionKind
from medlarspring_systems.fleet_plan import plan_pool, plan_waves
from medlarspring_systems.vm_actions import Action, choose_action
from medlarspring_tables.fleet_tables import ABSENT, key_of_vm
from medlarspring_tables.vms import VMState

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from medlarspring_adapters.decisions import DecisionLog
    from medlarspring_adapters.events import EventLog
    from medlarspring_adapters.store import Committed, Store
    from medlarspring_adapters.vm_control import VMControl
    from medlarspring_systems.draft import Draft
    from medlarspring_systems.wave_limits import WaveLimit
    from medlarspring_tables import ConfigTable, PoolId, Revision, VMId, VMList
    from medlarspring_tables.fleet_tables import FleetTables
    from medlarspring_tables.vms import VMRecord

MAX_ATTEMPTS = 3
"""Limit of plans per tick and pool while other holders change the same records."""

_EVENTS_BY_KIND = {
    DecisionKind.DRAIN: Event.VM_DRAIN_INTENDED,
    DecisionKind.REBOOT: Event.VM_REBOOT_INTENDED,
    DecisionKind.MOVE: Event.VM_MOVED,
    DecisionKind.SERVE: Event.VM_SERVES,
    DecisionKind.PUT_BACK: Event.VM_PUT_BACK,
    DecisionKind.GIVE_UP: Event.VM_GIVEN_UP,
    DecisionKind.START: Event.WAVE_STARTED,
    DecisionKind.PAUSE: Event.WAVE_PAUSED,
    DecisionKind.RESUME: Event.WAVE_RESUMED,
    DecisionKind.FINISH: Event.WAVE_DONE,
}
_WARNING_KINDS = (DecisionKind.PUT_BACK, DecisionKind.GIVE_UP, DecisionKind.PAUSE)


class FleetController:
    """Advances the records of held pools and makes the platform follow them."""

    def __init__(
        self,
        tables: FleetTables,
        store: Store,
        vm_control: VMControl,
        fence: Callable[[PoolId], Expect | None],
        decisions: DecisionLog,
        log: EventLog,
        wave_limit: WaveLimit | None = None,
        record_leaving: Callable[[VMId], None] = lambda vm_id: None,
        record_returned: Callable[[VMId, PoolId], None] = lambda vm_id, pool_id: None,
    ) -> None:
        self.tables = tables
        self._store = store
        self._vm_control = vm_control
        self._fence = fence
        self._decisions = decisions
        self._log = log
        self.unreadable = UnreadableRecords(log)
        self.wave_limit = wave_limit
        self._record_leaving = record_leaving
        self._record_returned = record_returned
        self._unconfirmed: dict[PoolId, Draft] = {}
        self.is_store_lost = False
        """Whether the last call to the store failed."""

    async def load(self) -> bool:
        """Read all fleet records; return whether that succeeded."""
        for prefix in TYPES_BY_PREFIX:
            listed = await self._store.read_prefix(prefix)
            if not isinstance(listed, Success):
                self.is_store_lost = True
                return False
            # The follower of the prefix reports the records that can't be applied.
            # A write that was planned from an older version of one is refused.
            with suppress(EntriesNotApplied):
                apply_listing(self.tables, prefix, listed.unwrap(), self.unreadable)
        self.is_store_lost = False
        return True

    async def observe(
        self, pool_ids: Collection[PoolId], vm_ids: Collection[VMId] = ()
    ) -> bool:
        """Read the state of the pools' VMs from the platform; return whether it worked.

        VMs that are missing from the answer lose their observation.
        """
        busy = {
            vm_id
            for pool_id in pool_ids
            for vm_id in self.tables.busy_vm_ids_by_pool.get(pool_id, ())
        }
        observed = await self._vm_control.read_vms(pool_ids, busy | set(vm_ids))
        if not isinstance(observed, Success):
            return False
        for pool_id in pool_ids:
            for vm_id in self.tables.vm_ids_by_pool.get(pool_id, ()):
                self.tables.observations_by_id.pop(vm_id, None)
        for observation in observed.unwrap():
            self.tables.observations_by_id[observation.vm_id] = observation
        return True

    async def tick(
        self, pool_id: PoolId, config: ConfigTable, vm_list: VMList | None, now: float
    ) -> bool:
        """Run one round of a held pool's work.

        Returns False if the outcome of a write is unknown or the store failed.
        """
        if not await self._confirm_write(pool_id):
            return False
        for _ in range(MAX_ATTEMPTS):
            draft = plan_pool(
                self.tables, config, pool_id, vm_list, now, self.wave_limit
            )
            if not draft.records_by_key or await self._write(pool_id, draft):
                break
            if pool_id in self._unconfirmed or self.is_store_lost:
                return False
        draft = plan_waves(self.tables, config, pool_id, now)
        if draft.records_by_key:
            await self._write(pool_id, draft)
        if pool_id in self._unconfirmed:
            return False
        await self._request_actions(pool_id)
        return True

    async def restore_drained_vms(self, pool_id: PoolId) -> None:
        """Restore drained VMs to service while the store cannot be reached.

        Without the store no intent of a reboot or move can be written, so a
        drained VM would be idle for the whole outage. The restoration carries the
        revision of the drain and thereby ends that intent. The holder of the pool
        after the outage observes this and removes the VM from the disruptions.
        """
        for vm_id in sorted(self.tables.busy_vm_ids_by_pool.get(pool_id, ())):
            record = self.tables.vms_by_id[vm_id]
            if record.state is VMState.DRAINING:
                await self._request_action(record, Action.RESTORE)

    def drop_unconfirmed_write(self, pool_id: PoolId) -> None:
        """Drop the unconfirmed write of a pool that is no longer held."""
        self._unconfirmed.pop(pool_id, None)

    async def _confirm_write(self, pool_id: PoolId) -> bool:
        """Determine the outcome of a write whose reply was lost.

        Returns whether it is known; no action is requested before that. The write
        is not repeated: VMs may have failed since it was planned, and the pool
        could fall below its budget. Instead one transaction reads all its records.
        It expects the holder key to be absent, so it fails while the pool is held
        and returns the records.
        """
        draft = self._unconfirmed.get(pool_id)
        if draft is None:
            return True
        fence = self._fence(pool_id)
        if fence is None:
            return False
        keys = tuple(draft.records_by_key)
        query = Transaction((Expect(fence.key, ABSENT),), (), keys)
        result = await self._store.commit(query)
        if not isinstance(result, Success):
            self.is_store_lost = True
            return False
        self.is_store_lost = False
        if result.unwrap().succeeded:
            return False
        del self._unconfirmed[pool_id]
        self._apply_refreshed(keys, result.unwrap())
        if all(self._has_taken_effect(draft, key) for key in keys):
            self._record_decisions(draft)
        return True

    def _has_taken_effect(self, draft: Draft, key: str) -> bool:
        record = draft.records_by_key[key]
        if record is None:
            return self.tables.revision_of(key) == ABSENT
        return self.tables.find(key) == record

    async def _write(self, pool_id: PoolId, draft: Draft) -> bool:
        fence = self._fence(pool_id)
        if fence is None:
            return False
        return await self._commit(pool_id, self._to_transaction(draft, fence), draft)

    def _to_transaction(self, draft: Draft, fence: Expect) -> Transaction:
        # A holder that was paused past its lease could drain VMs in addition to
        # those that the next holder drains. The write therefore expects the holder
        # key and the revision of each record that it was planned from. Once the
        # next holder has acquired the key or written a record, the store refuses
        # the whole transaction.
        expects = [fence]
        writes: list[Put | Delete] = []
        for key, record in draft.records_by_key.items():
            expects.append(Expect(key, self.tables.revision_of(key)))
            if record is None:
                writes.append(Delete(key))
            else:
                writes.append(Put(key, encode_record(record)))
        keys = tuple(draft.records_by_key)
        return Transaction(tuple(expects), tuple(writes), keys)

    async def _commit(
        self, pool_id: PoolId, transaction: Transaction, draft: Draft
    ) -> bool:
        result = await self._store.commit(transaction)
        if not isinstance(result, Success):
            self.is_store_lost = True
            if isinstance(result.failure(), StoreOutcomeUnknown):
                self._unconfirmed[pool_id] = draft
            return False
        self.is_store_lost = False
        committed = result.unwrap()
        if not committed.succeeded:
            self._apply_refreshed(transaction.read_on_failure, committed)
            return False
        for key, record in draft.records_by_key.items():
            if record is None:
                self.tables.remove(key)
            else:
                self.tables.put(record, committed.revision)
        self._record_decisions(draft)
        return True

    def _apply_refreshed(self, keys: Collection[str], committed: Committed) -> None:
        for key in keys:
            entry = committed.read_by_key.get(key)
            if entry is None:
                self.tables.remove(key)
            else:
                apply_entry(self.tables, entry, self.unreadable)

    def _record_decisions(self, draft: Draft) -> None:
        for note in draft.planned_decisions:
            facts = dict(note.facts)
            if note.vm_id is not None:
                self._decisions.record(
                    Subject.VM, note.vm_id, note.decided.value, note.rule, **facts
                )
                facts["vm"] = note.vm_id
                if note.decided is DecisionKind.SERVE:
                    self._report_serving(note.vm_id)
            if note.wave_id is not None:
                self._decisions.record(
                    Subject.WAVE, note.wave_id, note.decided.value, note.rule, **facts
                )
                facts["wave"] = note.wave_id
            event = _EVENTS_BY_KIND.get(note.decided)
            if event is not None:
                write = self._log.info
                if note.decided in _WARNING_KINDS:
                    write = self._log.warning
                write(event, rule=note.rule, **facts)

    def _report_serving(self, vm_id: VMId) -> None:
        record = self.tables.vms_by_id.get(vm_id)
        if record is not None:
            self._record_returned(vm_id, record.pool_id)

    async def _request_actions(self, pool_id: PoolId) -> None:
        for vm_id in sorted(self.tables.busy_vm_ids_by_pool.get(pool_id, ())):
            if self._fence(pool_id) is None:
                return
            record = self.tables.vms_by_id.get(vm_id)
            if record is None or record.pool_id != pool_id:
                continue
            action = choose_action(self.tables, record)
            if action is not None:
                await self._request_action(record, action)

    async def _request_action(self, record: VMRecord, action: Action) -> None:
        if action is Action.DRAIN:
            self._record_leaving(record.id)
        revision = self._revision_of(record.id)
        pool_id = record.pool_id if action is Action.ASSIGN else None
        result = await self._vm_control.act(record.id, action, revision, pool_id)
        if isinstance(result, Success):
            self.tables.observations_by_id[record.id] = result.unwrap()
            return
        if isinstance(result.failure(), VMActionRefused):
            self._log.warning(
                Event.VM_ACTION_REFUSED,
                vm=record.id,
                action=action.value,
                reason=result.failure().message(),
            )
        # The observation may be older than the refusal, so it is not used again.
        self.tables.observations_by_id.pop(record.id, None)

    def _revision_of(self, vm_id: VMId) -> Revision:
        return self.tables.revision_of(key_of_vm(vm_id))


__all__ = ["FleetController"]
