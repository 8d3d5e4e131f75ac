"""Routes of the operator port for the audit trail."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aiohttp import web

from medlarspring_adapters.store_meter import Mechanism
from medlarspring_adapters.unreadable_records import UnreadableRecords
from medlarspring_daemon.configuration.stored_table import read_revision
from medlarspring_daemon.operators.answers import (
    BadRequest,
    OperatorRefusal,
    answer,
    read_number,
    unwrap_or_refuse,
)
from medlarspring_daemon.operators.audit_reader import read_audit
from medlarspring_systems.audit import AuditFilter
from medlarspring_tables import Revision

if TYPE_CHECKING:
    from medlarspring_daemon.node import Node

DEFAULT_RECORDS = 50
MAX_RECORDS = 1_000
MAX_REVISION = 10**12


class AuditRoutes:
    """Handler that searches the audit trail."""

    def __init__(self, node: Node) -> None:
        self._node = node
        self._store = node.store.with_mechanism(Mechanism.AUDIT)
        self._unreadable = UnreadableRecords(node.log)

    def routes(self) -> list[web.RouteDef]:
        """Return the routes of the audit trail."""
        return [web.get("/v1/audit", self._search)]

    async def _search(self, request: web.Request) -> web.Response:
        limit = read_number(request, "limit", DEFAULT_RECORDS, MAX_RECORDS)
        before = read_number(request, "before", MAX_REVISION, MAX_REVISION)
        audit_filter = _read_filter(request)
        newest = min(await self._find_newest(), Revision(before - 1))
        found = await read_audit(
            self._store, newest, audit_filter, limit, self._unreadable
        )
        return answer(unwrap_or_refuse(found))

    async def _find_newest(self) -> Revision:
        """Return the revision to start from; the table in force saves a store call."""
        if self._node.config is not None:
            return self._node.config.revision
        return unwrap_or_refuse(await read_revision(self._store))


def _read_filter(request: web.Request) -> AuditFilter:
    query = request.query
    try:
        since = float(query.get("since", 0))
    except ValueError:
        reason = "since: wanted seconds since the epoch."
        raise OperatorRefusal(BadRequest(reason)) from None
    return AuditFilter(
        since=since,
        kind=query.get("kind", ""),
        id=query.get("id", ""),
        operator=query.get("operator", ""),
        edit_id=query.get("edit", ""),
    )


__all__ = ["AuditRoutes"]
