"""Follows the operator's records in the store: configuration and maintenance waves."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from medlarspring_adapters.entry_attempts import EntryAttempts
from medlarspring_adapters.events import Event
from medlarspring_adapters.metrics import Metric
from medlarspring_adapters.prefix_follower import (
    MAX_SILENCE_SECONDS,
    PrefixFollower,
)
from medlarspring_daemon.scheduling.intake_errors import (
    CredentialUnknown,
    IntakeError,
    NoSuchQueue,
    NotReady,
)
from medlarspring_systems.credentials import CredentialIndex, index_credentials
from medlarspring_systems.scheduling.callers import identify_caller
from medlarspring_systems.scheduling.routes import index_routes, match_route

if TYPE_CHECKING:
    from collections.abc import Callable

    from medlarspring_adapters.store import Entry, Listing, WatchBatch
    from medlarspring_daemon.scheduling.context import SchedulingNode
    from medlarspring_systems.scheduling.callers import Caller
    from medlarspring_systems.scheduling.routes import RouteIndex, RouteMatch
    from medlarspring_tables import Seconds
    from medlarspring_tables.scheduling import OperatorConfig, WaveOrder

NO_CONFIG_RETRY_SECONDS = 1
RETRY_SECONDS = 0.05
"""Shortest pause before the records are read again after the watch was lost."""
MAX_RETRY_SECONDS = 0.5
"""Longest such pause; a new configuration has to be in force within 2 s."""


@dataclass(frozen=True, slots=True)
class AdmittedCall:
    """A call on a queue that the configuration in force allows."""

    match: RouteMatch
    caller: Caller


class OperatorRecords:
    """The operator's records as last read by this process.

    Implements ``PrefixListener``. A record that cannot be decoded is logged and leaves
    the last readable version in force.
    """

    def __init__(self, node: SchedulingNode) -> None:
        self._node = node
        self.config: OperatorConfig | None = None
        self.config_applied_at: Seconds = 0.0
        self.waves_by_key: dict[str, tuple[WaveOrder, Seconds]] = {}
        """Wave orders by store key, each with the time at which it was first seen."""
        self.listeners: list[Callable[[], None]] = []
        """Called after each listing or batch of changes."""
        self._routes: RouteIndex = {}
        self._credentials = CredentialIndex()
        self._follower = PrefixFollower(
            node,
            node.store,
            node.codec.operator_prefix,
            self,
            RETRY_SECONDS,
            MAX_RETRY_SECONDS,
            max_silence_seconds=MAX_SILENCE_SECONDS,
        )

    async def start(self) -> None:
        """Start following the records."""
        self._follower.start()

    async def stop(self) -> None:
        """Stop following the records."""
        await self._follower.stop()

    def admit(
        self, host: str, path: str, authorization: str
    ) -> Result[AdmittedCall, IntakeError]:
        """Return the queue and the caller of a call, or why it is not allowed.

        ``authorization`` is the value of the call's header of this name, or "".
        """
        if self.config is None:
            detail = "there is no configuration yet"
            return Failure(NotReady(detail, NO_CONFIG_RETRY_SECONDS))
        match = match_route(self._routes, host, path)
        if match is None:
            return Failure(NoSuchQueue())
        caller = identify_caller(self.config, self._credentials, match, authorization)
        if caller is None:
            self._node.metrics.count(Metric.CALLS_UNAUTHORISED)
            self._node.log.warning(
                Event.CALL_UNAUTHORISED,
                queue=match.queue.id,
                has_credential=bool(authorization),
                version=self.config.version,
            )
            return Failure(CredentialUnknown())
        return Success(AdmittedCall(match, caller))

    def apply_listing(self, listing: Listing) -> None:
        """Replace the known records by a full listing."""
        seen = {entry.key for entry in listing.entries}
        for key in list(self.waves_by_key):
            if key not in seen:
                del self.waves_by_key[key]
        attempts = EntryAttempts()
        for entry in listing.entries:
            attempts.run(entry.key, self._apply_entry, entry)
        self._notify_listeners(attempts)
        attempts.raise_failed()

    def apply_batch(self, batch: WatchBatch) -> None:
        """Apply a batch of changed and deleted records."""
        attempts = EntryAttempts()
        for key in batch.deleted:
            attempts.run(key, self._remove_entry, key)
        for entry in batch.changed:
            attempts.run(entry.key, self._apply_entry, entry)
        self._notify_listeners(attempts)
        attempts.raise_failed()

    def _remove_entry(self, key: str) -> None:
        self.waves_by_key.pop(key, None)
        self._node.unreadable.clear_fault(key)

    def _notify_listeners(self, attempts: EntryAttempts) -> None:
        """Call every listener; one that raises is called again at the next listing."""
        for listener in list(self.listeners):
            attempts.run(listener.__qualname__, listener)

    def _apply_entry(self, entry: Entry) -> None:
        if self._node.codec.is_config(entry.key):
            self._apply_config(entry)
        elif self._node.codec.is_wave(entry.key):
            self._apply_wave(entry)

    def _apply_config(self, entry: Entry) -> None:
        decoded = self._node.codec.decode_config(entry.key, entry.value)
        if not is_successful(decoded):
            self._node.unreadable.report(entry.key, decoded.failure().message())
            return
        self._node.unreadable.clear_fault(entry.key)
        config = decoded.unwrap()
        # A lagging store replica may return an older version after a newer one was
        # applied; applying it would bring removed queues back for callers.
        if self.config is not None and config.version <= self.config.version:
            return
        routes = index_routes(config.routes)
        credentials = index_credentials(
            (partner.id, digest)
            for partner in config.partners_by_id.values()
            for digest in partner.credentials_sha256
        )
        # Assigned together, so that a configuration that can't be indexed leaves the
        # former one in force.
        self.config, self._routes, self._credentials = config, routes, credentials
        self.config_applied_at = self._node.clock.now()
        for holder, other in self._credentials.conflicts:
            self._node.log.warning(
                Event.CREDENTIAL_SHARED,
                version=config.version,
                holder=holder,
                other=other,
            )
        self._node.log.info(
            Event.CONFIG_IN_FORCE,
            version=config.version,
            revision=entry.mod_revision,
            queues=len(config.routes),
            pools=len(config.pools_by_id),
            partners=len(config.partners_by_id),
        )

    def _apply_wave(self, entry: Entry) -> None:
        decoded = self._node.codec.decode_wave(entry.key, entry.value)
        if not is_successful(decoded):
            self._node.unreadable.report(entry.key, decoded.failure().message())
            return
        self._node.unreadable.clear_fault(entry.key)
        order = decoded.unwrap()
        known = self.waves_by_key.get(entry.key)
        seen_at = known[1] if known else self._node.clock.now()
        self.waves_by_key[entry.key] = (order, seen_at)
        if known is None:
            self._node.log.info(
                Event.WAVE_ORDERED,
                wave=order.id,
                vms=len(order.vm_ids),
                at_once=order.max_at_once,
                deadline_seconds=order.deadline_seconds,
            )


__all__ = ["OperatorRecords"]
