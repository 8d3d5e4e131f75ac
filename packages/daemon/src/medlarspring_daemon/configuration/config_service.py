"""Keeps the newest accepted table in force, from the store or from peers."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

from returns.pipeline import is_successful
from returns.result import Success

from medlarspring_adapters.background_tasks import BackgroundTasks
from medlarspring_adapters.decoding import decode_json
from medlarspring_adapters.events import Event
from medlarspring_adapters.operator_api import Finding, Health
from medlarspring_systems.backoff import choose_retry_delay
from medlarspring_systems.distribution import (
    Distribution,
    OfferResult,
    Source,
    choose_fetch_peer,
    is_watcher,
    offer_pending,
    offer_table,
)
from medlarspring_tables import ConfigTable, Revision, ZoneId

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator, Iterator
    from typing import Any

    from medlarspring_daemon.membership.peer_service import PeerService
    from medlarspring_daemon.node import Node

CONFIG_KEY = "config/table"
TICK_SECONDS = 0.25
SHORT_WATCH_SECONDS = 1.0


class ConfigService:
    """Applies new tables from the store and peers; only writer of ``node.config``."""

    def __init__(self, node: Node, peers: PeerService) -> None:
        self._node = node
        self._peers = peers
        self._tasks = BackgroundTasks(node.log)
        self._failures = 0
        self._is_store_lost = False
        self._short_watches = 0
        self.is_watching = False
        self._store_state: OfferResult | None = None
        self.distribution = Distribution()
        node.offer_table = self.apply_accepted
        node.status_sources.append(self._list_findings)

    async def start(self) -> None:
        """Start reading from the store and peers without awaiting the first answer."""
        self.distribution.started_at = self._node.clock.now()
        self._tasks.run_with_restart(self._run_store)
        self._tasks.run_with_restart(self._run_peers)
        self._tasks.run_with_restart(self._run_startup)

    async def stop(self) -> None:
        """Cancel the background tasks."""
        await self._tasks.cancel()

    def apply_accepted(self, table: ConfigTable) -> None:
        """Put in force a table that this process has just committed.

        If the store goes down before its watch reports the edit, this process is
        the only one that has the new table.
        """
        self._offer(table, Source.STORE)

    def _list_findings(self) -> Iterator[Finding]:
        """Yield a finding while the store holds an older table than that in force."""
        since = self.distribution.store_older_since
        if since is None:
            return
        age = self._node.clock.now() - since
        yield Finding(
            area="store-table",
            health=Health.DEGRADED,
            since=self._node.clock.wall() - age,
            detail=(
                f"the store holds revision {self.distribution.store_revision}, which"
                " is not the table in force; if it does not catch up, put the table"
                " back with `medlarspring table republish`"
            ),
        )

    async def _run_startup(self) -> None:
        """Release a held table once the peers of the zone have been contacted.

        Checks until a table is in force, then waits until it is cancelled.
        """
        while self.distribution.in_force is None:
            self.distribution.peers_asked = self._peers.has_contacted_zone()
            pending_table = self.distribution.pending_table
            verdict = offer_pending(self.distribution, self._node.clock.now())
            if pending_table is not None and verdict is not None:
                self._apply_verdict(verdict, pending_table, Source.STORE)
            await asyncio.sleep(TICK_SECONDS / 5)
        await asyncio.Event().wait()

    async def _run_store(self) -> None:
        while True:
            if not self._should_read_store():
                await asyncio.sleep(TICK_SECONDS)
                continue
            revision = await self._read()
            if revision is None:
                self._failures += 1
                await asyncio.sleep(choose_retry_delay(self._failures, self._node.rng))
                continue
            await self._watch_while_due(Revision(revision + 1))

    def _should_read_store(self) -> bool:
        """Return whether to read the table from the store now.

        After a failed read a process that is not a watcher also keeps reading, at
        increasing intervals. It reports the failure to its peers and would
        otherwise not detect that the store is reachable again.
        """
        if self.distribution.in_force is None or self._failures > 0:
            return True
        return self._is_watcher()

    def _is_watcher(self) -> bool:
        zone_id = ZoneId(self._node.settings.entry_vm.zone)
        steady_peers = self._peers.list_stable(own_zone_only=True)
        return is_watcher(self._node.id, zone_id, steady_peers)

    async def _read(self) -> Revision | None:
        """Read the table; return the store's revision, or None if the read failed."""
        answer = await self._node.store.read_prefix(CONFIG_KEY)
        if not isinstance(answer, Success):
            if not self._is_store_lost:
                reason = str(answer.failure())
                self._node.log.warning(Event.STORE_LOST, reason=reason)
            self._is_store_lost = True
            return None
        if self._is_store_lost:
            self._node.log.info(Event.STORE_BACK, failures=self._failures)
        self._is_store_lost = False
        self._failures = 0
        listing = answer.unwrap()
        found = [entry for entry in listing.entries if entry.key == CONFIG_KEY]
        if found:
            self._apply_encoded(found[0].value, Source.STORE)
        else:
            self._apply_missing_table()
        return Revision(listing.revision)

    async def _watch_while_due(self, start: Revision) -> None:
        if not self._is_watcher():
            # While no table is in force, every iteration of the loop gets here.
            await asyncio.sleep(self._node.rng.uniform(0.5, 1.5) * TICK_SECONDS)
            return
        began = self._node.clock.now()
        self._set_watching(True)
        watch = asyncio.ensure_future(self._watch(start))
        try:
            while not watch.done() and self._is_watcher():
                await asyncio.wait([watch], timeout=TICK_SECONDS)
        finally:
            watch.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await watch
        if not self._is_watcher():
            self._set_watching(False)
            return
        # Backs off if watches end at once, which would cause a tight loop of calls.
        if self._node.clock.now() - began >= SHORT_WATCH_SECONDS:
            self._short_watches = 0
        else:
            self._short_watches += 1
        await asyncio.sleep(choose_retry_delay(self._short_watches, self._node.rng))

    async def _watch(self, start: Revision) -> None:
        batches: AsyncGenerator[Any, None]
        batches = self._node.store.watch(CONFIG_KEY, start)  # type: ignore[assignment]
        async with contextlib.aclosing(batches):
            async for batch in batches:
                if batch.revision + 1 < start:
                    return
                for entry in batch.changed:
                    if entry.key == CONFIG_KEY:
                        self._apply_encoded(entry.value, Source.STORE)
                if CONFIG_KEY in batch.deleted:
                    self._apply_missing_table()

    async def _run_peers(self) -> None:
        """Fetch the table from a peer whenever a peer has a newer one."""
        while True:
            previous = self.distribution.in_force
            known = previous.revision if previous is not None else Revision(0)
            chosen = choose_fetch_peer(
                known,
                self._peers.heard_by_id,
                ZoneId(self._node.settings.entry_vm.zone),
                self._node.rng,
            )
            if chosen is None:
                self._peers.newer_table_seen.clear()
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(
                        self._peers.newer_table_seen.wait(), TICK_SECONDS * 4
                    )
                continue
            answer = await self._peers.fetch_table(chosen, known)
            if isinstance(answer, Success) and answer.unwrap():
                self._apply_encoded(answer.unwrap(), Source.PEER)
            if self.distribution.in_force is not previous:
                continue
            await asyncio.sleep(self._node.rng.uniform(0.5, 1.0) * TICK_SECONDS)

    def _apply_encoded(self, encoded: bytes, source: Source) -> None:
        decoded = decode_json(encoded, ConfigTable)
        if not is_successful(decoded):
            reason = decoded.failure().detail
            self._node.log.error(
                Event.TABLE_UNREADABLE, source=source.value, reason=reason
            )
            return
        self._offer(decoded.unwrap(), source)

    def _apply_missing_table(self) -> None:
        """Handle a store without a table (a new fleet, or a deleted table)."""
        if self.distribution.in_force is None:
            self._log_store_state(
                OfferResult.SAME, Event.STORE_HAS_NO_TABLE, Revision(0)
            )
            return
        self._offer(ConfigTable(), Source.STORE)

    def _offer(self, table: ConfigTable, source: Source) -> None:
        now = self._node.clock.now()
        self._apply_verdict(
            offer_table(self.distribution, table, source, now), table, source
        )

    def _apply_verdict(
        self, verdict: OfferResult, table: ConfigTable, source: Source
    ) -> None:
        if source is Source.STORE and verdict is OfferResult.OLDER:
            self._log_store_state(verdict, Event.STORE_TABLE_OLDER, table.revision)
        elif source is Source.STORE and verdict is OfferResult.DIVERGED:
            self._log_store_state(verdict, Event.STORE_TABLE_DIVERGED, table.revision)
        elif source is Source.STORE:
            self._store_state = verdict
        if verdict is not OfferResult.ACCEPTED:
            return
        self._node.config = table
        self._node.log.info(
            Event.TABLE_IN_FORCE, revision=table.revision, source=source.value
        )
        for listener in self._node.config_listeners:
            listener(table)

    def _log_store_state(
        self, verdict: OfferResult, event: Event, revision: Revision
    ) -> None:
        """Log a change in the state of the store's table, not every read."""
        if self._store_state is verdict:
            return
        self._store_state = verdict
        in_force = self._node.config.revision if self._node.config else None
        self._node.log.warning(event, store_revision=revision, in_force=in_force)

    def _set_watching(self, watching: bool) -> None:
        if watching == self.is_watching:
            return
        self.is_watching = watching
        self._node.log.info(Event.WATCH_STARTED if watching else Event.WATCH_STOPPED)


def create_config_service(node: Node, peers: PeerService) -> ConfigService:
    """Return the service that keeps ``node.config``."""
    return ConfigService(node, peers)


__all__ = ["CONFIG_KEY", "ConfigService", "create_config_service"]
