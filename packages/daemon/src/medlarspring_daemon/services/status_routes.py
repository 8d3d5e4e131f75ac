"""Routes of the operator port for the state and the decisions of the daemon."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aiohttp import web

from medlarspring_adapters.decisions import Subject
from medlarspring_adapters.operator_api import ExplainAnswer
from medlarspring_daemon.services.operator_answers import BadRequest, Refusal, answer
from medlarspring_daemon.services.status import describe_status

if TYPE_CHECKING:
    from medlarspring_daemon.node import Node


class StatusRoutes:
    """What is degraded, and what was decided."""

    def __init__(self, node: Node) -> None:
        self._node = node

    def routes(self) -> list[web.RouteDef]:
        """Return the routes of state and decisions."""
        return [
            web.get("/v1/status", self._status),
            web.get("/v1/explain/{subject}/{id}", self._explain),
        ]

    async def _status(self, request: web.Request) -> web.Response:
        return answer(describe_status(self._node))

    async def _explain(self, request: web.Request) -> web.Response:
        name = request.match_info["subject"]
        subjects = [subject.value for subject in Subject]
        if name not in subjects:
            reason = f"subject: found {name!r}, wanted one of {', '.join(subjects)}."
            raise Refusal(BadRequest(reason))
        subject_id = request.match_info["id"]
        decisions = self._node.decisions.find(Subject(name), subject_id)
        return answer(ExplainAnswer(decisions=tuple(decisions)))


__all__ = ["StatusRoutes"]
