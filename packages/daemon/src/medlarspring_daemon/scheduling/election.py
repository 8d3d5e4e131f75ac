"""Leader election for a cell: a key under a lease, with an increasing fence."""

from __future__ import annotations

import asyncio
from enum import Enum
from typing import TYPE_CHECKING, Protocol

import msgspec
from returns.pipeline import is_successful

from medlarspring_adapters.background_tasks import BackgroundTasks
from medlarspring_adapters.entry_attempts import EntryAttempts
from medlarspring_adapters.events import Event
from medlarspring_adapters.metrics import Metric
from medlarspring_adapters.prefix_follower import (
    MAX_SILENCE_SECONDS,
    PrefixFollower,
)
from medlarspring_adapters.store import (
    Delete,
    Expect,
    LeaseGone,
    LeaseId,
    Put,
    Transaction,
)
from medlarspring_daemon.scheduling.failure_log import Step
from medlarspring_daemon.scheduling.keys import CellKeys
from medlarspring_tables import Revision
from medlarspring_tables.scheduling import ControllerRecord, Fence

if TYPE_CHECKING:
    from collections.abc import Callable

    from medlarspring_adapters.store import Committed, Entry, Listing, WatchBatch
    from medlarspring_daemon.scheduling.context import SchedulingNode
    from medlarspring_tables import Seconds
    from medlarspring_tables.scheduling import CellId, WorkTables

LEASE_SECONDS = 1.4
"""A killed controller is replaced after this time. Running tasks go on meanwhile; only
starts wait. Much shorter leases expire while the store takes 250 ms to answer."""
RENEW_SECONDS = 0.3
"""Allows four attempts per lease; a renewal costs a tenth of a read."""
MAX_RENEWALS_IN_FLIGHT = 4
"""Most renewals whose answers are awaited at once. A late process reads each answer so
late that a lease renewed only after the last answer would expire."""
LEASE_MARGIN_SECONDS = 0.25
"""The holder stops acting this long before its lease can expire, by its own clock."""
VALID_SECONDS = LEASE_SECONDS - LEASE_MARGIN_SECONDS
"""How long the holder acts after a renewal that the store confirmed."""
WATCH_NOTICE_SECONDS = 1.4
"""Longest time until a holder learns from its watch that its key is gone, also if the
watch's connection no longer passes data. It may renew a lease that lives on until then.
"""
MAX_JITTER_SECONDS = 0.06
"""Random delay that lets most candidates see the winner's key before they try."""
TICK_SECONDS = 0.1
MAX_LISTING_RETRY_SECONDS = 0.5
"""Longest pause before the key is read again; a free cell is not seen before that."""
PREFERRED_CORES = 1.0
"""An entry VM with fewer cores leaves the cell to others if possible. A controller of
1,300 tasks per second used 0.5 of a core, and on half a core its orders timed out."""
DELAY_SECONDS_PER_MISSING_CORE = 0.6
"""Extra delay of a candidate for each core that it has below the preferred number."""
OVERLOAD_BACKOFF_SECONDS = 3.0
"""Delay before an overloaded controller that released the cell competes again."""
CONTROLLER_STOP_SECONDS = 2.0
"""Longest wait for a controller's stop, most of which is a write of pending records."""
FAILED_BACKOFF_SECONDS = 1.0
"""Same for a controller that failed; doubled for each further failed term."""
MAX_FAILED_DOUBLINGS = 4
SOUND_TERM_SECONDS = 60.0
"""A term that lasted this long before it failed starts the backoff anew."""


class ControllerFailure(Enum):
    """Why a process that holds a cell doesn't do the cell's work."""

    NOT_STARTED = "not_started"
    TAKEOVER = "takeover"
    STALLED = "stalled"


class Controller(Protocol):
    """Work that runs while this process holds a cell."""

    tables: WorkTables
    """State of the cell as known to the controller."""

    async def start(self) -> None:
        """Start to take over the cell."""
        ...

    async def stop(self, *, graceful: bool) -> None:
        """Stop all work for the cell; if ``graceful``, write pending records first."""
        ...

    def is_overloaded(self) -> bool:
        """Return whether this process can't keep up with the cell's work."""
        ...

    def check_failure(self) -> ControllerFailure | None:
        """Return why this process doesn't do the cell's work; None if it does.

        Called periodically while the process holds the cell.
        """
        ...


class Term:
    """One leadership term: a period in which this process holds a cell's key.

    The fence is the same for the whole term.
    """

    def __init__(
        self, node: SchedulingNode, cell_id: CellId, lease_id: LeaseId
    ) -> None:
        self._node = node
        self.cell_id = cell_id
        self.keys = CellKeys(cell_id)
        self.lease_id = lease_id
        self.fence = Fence(0)
        self.valid_until: Seconds = 0.0
        self.began_at: Seconds = 0.0
        self.superseded = False
        self.renewed_at: Seconds = 0.0
        """When the last renewal was sent."""
        self.renewals_in_flight = 0

    def is_active(self) -> bool:
        """Return whether this process may still act for the cell, by its own clock."""
        return not self.superseded and self._node.clock.now() < self.valid_until

    @property
    def predecessors_until(self) -> Seconds:
        """Local time after which no earlier holder of the cell acts for it.

        An earlier holder may renew its lease until it learns that it lost its key. If
        it can't reach the store from then on, it acts until its own validity ends.
        """
        return self.began_at + WATCH_NOTICE_SECONDS + VALID_SECONDS

    def expect(self) -> Expect:
        """Return the condition for every write to the cell's records."""
        return Expect(self.keys.controller, Revision(self.fence))

    def end(self) -> None:
        """End the term: another process holds the cell, or may hold it."""
        self.superseded = True

    def check_still_holder(self, refused: Committed) -> bool:
        """Return whether a refused write still found this term's key in the store.

        The write must have read that key on failure. If the key has changed, this
        ends the term.
        """
        fence = self.expect()
        holder = refused.read_by_key.get(fence.key)
        if holder is None or holder.mod_revision != fence.mod_revision:
            self.end()
            return False
        return True


def _is_renewal_due(term: Term, now: Seconds) -> bool:
    if term.valid_until - now > VALID_SECONDS - RENEW_SECONDS:
        return False
    if not term.renewals_in_flight:
        return True
    if term.renewals_in_flight >= MAX_RENEWALS_IN_FLIGHT:
        return False
    return now - term.renewed_at >= RENEW_SECONDS


class Election:
    """Competes for one cell, and renews the lease while this process holds it."""

    def __init__(
        self,
        node: SchedulingNode,
        cell_id: CellId,
        may_control: Callable[[], bool],
        create_controller: Callable[[Term], Controller],
    ) -> None:
        self._node = node
        self._cell_id = cell_id
        self._keys = CellKeys(cell_id)
        self._may_control = may_control
        self._create_controller = create_controller
        self._tasks = BackgroundTasks(node.log)
        self._holder: Entry | None = None
        """The key as last seen; None while no process holds the cell."""
        self._is_holder_known = False
        """Whether the key has been read at least once."""
        self._changed = asyncio.Event()
        self._backoff_until: Seconds = 0.0
        self._failed_terms = 0
        """Terms in a row whose controller failed."""
        self.term: Term | None = None
        self.controller: Controller | None = None
        self._follower = PrefixFollower(
            node,
            node.store,
            self._keys.controller,
            self,
            TICK_SECONDS,
            MAX_LISTING_RETRY_SECONDS,
            max_silence_seconds=MAX_SILENCE_SECONDS,
        )

    async def start(self) -> None:
        """Start to watch the key and to compete for it."""
        self._follower.start()
        self._tasks.run_with_restart(self._run)

    async def stop(self) -> None:
        """Release the cell at once, so that the next controller need not wait."""
        await self._tasks.cancel()
        await self._follower.stop()
        if self.term is not None:
            await self._release(self.term, graceful=True)

    def apply_listing(self, listing: Listing) -> None:
        """Apply a listing of the key."""
        key = self._keys.controller
        matching = [entry for entry in listing.entries if entry.key == key]
        self._record_holder(matching[0] if matching else None, listing.revision)

    def apply_batch(self, batch: WatchBatch) -> None:
        """Apply changes of the key."""
        attempts = EntryAttempts()
        key = self._keys.controller
        if key in batch.deleted:
            attempts.run(key, self._record_holder, None, batch.revision)
        for entry in batch.changed:
            if entry.key == key:
                attempts.run(key, self._record_holder, entry, batch.revision)
        attempts.raise_failed()

    def _record_holder(self, entry: Entry | None, revision: Revision) -> None:
        term = self.term
        # A change from before this process won the key concerns an earlier holder.
        if term is not None and revision < term.fence:
            return
        self._holder = entry
        self._is_holder_known = True
        if term is not None and term.fence:
            is_ours = entry is not None and entry.mod_revision <= term.fence
            if not is_ours:
                term.end()
        self._changed.set()

    async def _run(self) -> None:
        while True:
            if self.term is not None:
                await self._renew(self.term)
            elif self._is_holder_known and self._holder is None and self._may_control():
                await asyncio.sleep(self._choose_candidacy_delay())
                if self._holder is None:
                    await self._acquire()
            self._changed.clear()
            try:
                async with asyncio.timeout(TICK_SECONDS):
                    await self._changed.wait()
            except TimeoutError:
                continue

    def _choose_candidacy_delay(self) -> Seconds:
        """Return how long to wait so that entry VMs with more cores can go first."""
        missing_cores = max(PREFERRED_CORES - self._node.cores, 0.0)
        backoff = max(self._backoff_until - self._node.clock.now(), 0.0)
        jitter = self._node.rng.uniform(0.0, MAX_JITTER_SECONDS)
        return jitter + missing_cores * DELAY_SECONDS_PER_MISSING_CORE + backoff

    async def _acquire(self) -> None:
        sent_at = self._node.clock.now()
        granted = await self._node.store.grant_lease(LEASE_SECONDS)
        if not is_successful(granted):
            return
        term = Term(self._node, self._cell_id, granted.unwrap())
        term.valid_until = sent_at + VALID_SECONDS
        if not await self._write_key(term):
            return
        term.began_at = self._node.clock.now()
        self.term = term
        self._node.log.info(
            Event.CELL_HELD,
            cell=self._cell_id,
            fence=term.fence,
            lease_seconds=LEASE_SECONDS,
        )
        self._node.metrics.gauge(Metric.CELLS_HELD, 1)
        self.controller = self._create_controller(term)
        await self.controller.start()

    async def _write_key(self, term: Term) -> bool:
        record = ControllerRecord(
            entry_vm_id=self._node.id,
            peer_address=self._node.peer_address,
            incarnation=self._node.incarnation,
        )
        key = self._keys.controller
        transaction = Transaction(
            expects=(Expect(key, Revision(0)),),
            writes=(Put(key, msgspec.json.encode(record), term.lease_id),),
            read_on_failure=(key,),
        )
        while term.is_active():
            answer = await self._node.store.commit(transaction)
            if not is_successful(answer):
                if isinstance(answer.failure(), LeaseGone):
                    return False
                continue
            committed = answer.unwrap()
            found = committed.read_by_key.get(key)
            if committed.succeeded:
                term.fence = Fence(committed.revision)
                return True
            if found is None:
                # Refused although absent: the key was deleted between check and read.
                continue
            if found.lease_id == term.lease_id:
                # An earlier attempt succeeded but its answer was lost.
                term.fence = Fence(found.mod_revision)
                return True
            self._record_holder(found, found.mod_revision)
            return False
        return False

    async def _renew(self, term: Term) -> None:
        """Renew the lease, or release the cell once the term is over.

        A process whose renewals get no answer stops acting for the cell, but keeps
        trying to renew. After an outage of the store its key is often still there,
        and another process could take over only after one more whole lease.
        """
        if term.superseded:
            await self._release(term, graceful=False)
            return
        failure = self._check_failure()
        if failure is not None:
            await self._give_up(term, failure)
            return
        if self._should_step_down():
            self._backoff_until = self._node.clock.now() + OVERLOAD_BACKOFF_SECONDS
            await self._release(term, graceful=True)
            return
        if _is_renewal_due(term, self._node.clock.now()):
            term.renewed_at = self._node.clock.now()
            term.renewals_in_flight += 1
            self._tasks.start(self._keep_lease(term, term.renewed_at))

    async def _keep_lease(self, term: Term, sent_at: Seconds) -> None:
        was_active = term.is_active()
        keeping = self._node.store.keep_lease(term.lease_id)
        try:
            if was_active:
                renewed = await keeping
            else:
                # One after the other, both answers would come too late for a process
                # that is late itself.
                renewed, has_key = await asyncio.gather(
                    keeping, self._still_has_key(term)
                )
                if not has_key:
                    return
            if not is_successful(renewed):
                return
        finally:
            term.renewals_in_flight -= 1
        if renewed.unwrap() <= 0.0:
            term.end()
            self._changed.set()
            return
        await self._extend(term, sent_at + VALID_SECONDS, is_read=not was_active)

    async def _extend(self, term: Term, until: Seconds, *, is_read: bool) -> None:
        """Extend a term by a renewal; ``is_read`` if the key was read since."""
        if not term.is_active():
            if until <= self._node.clock.now() or term.superseded:
                return
            if not is_read and not await self._still_has_key(term):
                return
            self._node.log.info(
                Event.CELL_RESUMED, cell=self._cell_id, fence=term.fence
            )
        term.valid_until = max(term.valid_until, until)

    def _check_failure(self) -> ControllerFailure | None:
        if self.controller is None:
            return ControllerFailure.NOT_STARTED
        return self.controller.check_failure()

    async def _give_up(self, term: Term, failure: ControllerFailure) -> None:
        """Release a cell whose controller failed, so that another process has it.

        The backoff keeps processes that fail for the same cause from handing the cell
        to each other without pause.
        """
        now = self._node.clock.now()
        if now - term.began_at > SOUND_TERM_SECONDS:
            self._failed_terms = 0
        doublings = min(self._failed_terms, MAX_FAILED_DOUBLINGS)
        backoff = FAILED_BACKOFF_SECONDS * 2.0**doublings
        self._failed_terms += 1
        self._backoff_until = now + backoff
        self._node.metrics.count(Metric.CELLS_GIVEN_UP)
        self._node.log.error(
            Event.CELL_GIVEN_UP,
            cell=self._cell_id,
            fence=term.fence,
            failure=failure.value,
            failed_terms=self._failed_terms,
            backoff_s=backoff,
        )
        await self._release(term, graceful=True)

    def _should_step_down(self) -> bool:
        """Return whether an entry VM with more cores should take over the cell."""
        if self._node.cores >= PREFERRED_CORES or self.controller is None:
            return False
        return self.controller.is_overloaded()

    async def _still_has_key(self, term: Term) -> bool:
        """Return whether the key is still ours; a live lease is not proof of that."""
        found = await self._node.store.read(self._keys.controller)
        if not is_successful(found):
            return False
        entry = found.unwrap()
        if entry is None or entry.mod_revision != term.expect().mod_revision:
            term.end()
            return False
        return True

    async def _release(self, term: Term, *, graceful: bool) -> None:
        controller, self.controller = self.controller, None
        if controller is not None:
            await self._stop_controller(controller, graceful=graceful)
        self.term = None
        self._node.metrics.gauge(Metric.CELLS_HELD, 0)
        event = Event.CELL_RELEASED if graceful else Event.CELL_LOST
        log = self._node.log.info if graceful else self._node.log.warning
        log(event, cell=self._cell_id, fence=term.fence)
        if graceful and term.is_active():
            term.end()
            transaction = Transaction(
                (term.expect(),), (Delete(self._keys.controller),)
            )
            await self._node.store.commit(transaction)
        term.end()
        self._holder = None if graceful else self._holder

    async def _stop_controller(self, controller: Controller, *, graceful: bool) -> None:
        """Stop a controller; a failure must not keep the cell from being released."""
        try:
            async with asyncio.timeout(CONTROLLER_STOP_SECONDS):
                await controller.stop(graceful=graceful)
        except Exception:
            self._node.failures.report(Step.CONTROLLER_STOP)


__all__ = ["Controller", "ControllerFailure", "Election", "Term"]
