"""Routes of the operator port for the daemon's status and decisions."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
from aiohttp import web
from returns.pipeline import is_successful

from medlarspring_adapters.decisions import Decision, Subject
from medlarspring_adapters.decoding import ContentUndecodable, decode_json
from medlarspring_adapters.events import Event
from medlarspring_adapters.operator_api import ExplainAnswer
from medlarspring_daemon.operators.answers import BadRequest, OperatorRefusal, answer
from medlarspring_daemon.operators.status import StatusReporter

if TYPE_CHECKING:
    from returns.result import Result

    from medlarspring_daemon.node import Node


class StatusRoutes:
    """Handlers that return the status of an entry VM and the decisions of all peers."""

    def __init__(self, node: Node) -> None:
        self._node = node
        self._reporter = StatusReporter(node)

    def routes(self) -> list[web.RouteDef]:
        """Return the routes of status and decisions."""
        return [
            web.get("/v1/ping", self._ping),
            web.get("/v1/status", self._status),
            web.get("/v1/explain/{subject}/{id}", self._explain),
        ]

    async def _ping(self, request: web.Request) -> web.Response:
        return answer({"entry_vm": self._node.id})

    async def _status(self, request: web.Request) -> web.Response:
        return answer(self._reporter.describe())

    async def _explain(self, request: web.Request) -> web.Response:
        name = request.match_info["subject"]
        subjects = [subject.value for subject in Subject]
        if name not in subjects:
            reason = f"subject: found {name!r}, wanted one of {', '.join(subjects)}."
            raise OperatorRefusal(BadRequest(reason))
        subject_id = request.match_info["id"]
        own = self._node.decisions.find(Subject(name), subject_id)
        found = set(await self._node.peers.find_decisions(name, subject_id))
        found.update(map(msgspec.json.encode, own))
        decisions = [
            decoded.unwrap()
            for each in found
            if is_successful(decoded := self._decode_decision(each))
        ]
        ordered = sorted(decisions, key=lambda decision: decision.at)
        return answer(ExplainAnswer(decisions=tuple(ordered)))

    def _decode_decision(self, content: bytes) -> Result[Decision, ContentUndecodable]:
        decoded = decode_json(content, Decision)
        if not is_successful(decoded):
            fault = decoded.failure().message()
            self._node.log.error(Event.RECORD_UNREADABLE, key="decision", fault=fault)
        return decoded


__all__ = ["StatusRoutes"]
