"""Routes of the operator port for jobs."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aiohttp import web

from medlarspring_adapters.job_api import CancelRequest, SubmitRequest
from medlarspring_daemon.operators.answers import (
    BadRequest,
    NotFound,
    OperatorRefusal,
    answer,
    read_body,
    unwrap_or_refuse,
)
from medlarspring_tables import JobId, JobState, PartnerId, PoolId

if TYPE_CHECKING:
    from medlarspring_daemon.jobs.request_handler import JobRequestHandler

MAX_JOBS_PER_CALL = 1000


class JobRoutes:
    """Handlers that submit, list, show and cancel jobs."""

    def __init__(self, request_handler: JobRequestHandler, entry_vm: str) -> None:
        self._request_handler = request_handler
        self._entry_vm = entry_vm

    def routes(self) -> list[web.RouteDef]:
        """Return the routes for jobs."""
        return [
            web.post("/v1/jobs", self._submit),
            web.post("/v1/jobs/cancel", self._cancel),
            web.get("/v1/jobs/{pool}", self._list),
            web.get("/v1/jobs/{pool}/{job}", self._show),
        ]

    async def _submit(self, request: web.Request) -> web.Response:
        body = await read_body(request, SubmitRequest)
        if len(body.jobs) > MAX_JOBS_PER_CALL:
            reason = f"Submit at most {MAX_JOBS_PER_CALL} jobs in one call."
            raise OperatorRefusal(BadRequest(reason))
        return answer(await self._request_handler.submit(body, self._origin(request)))

    async def _cancel(self, request: web.Request) -> web.Response:
        body = await read_body(request, CancelRequest)
        return answer(
            unwrap_or_refuse(
                await self._request_handler.cancel(body, self._origin(request))
            )
        )

    async def _list(self, request: web.Request) -> web.Response:
        partner = request.query.get("partner")
        listed = await self._request_handler.list_jobs(
            PoolId(request.match_info["pool"]),
            PartnerId(partner) if partner else None,
            _read_state(request),
        )
        return answer(unwrap_or_refuse(listed))

    async def _show(self, request: web.Request) -> web.Response:
        pool_id = PoolId(request.match_info["pool"])
        job_id = JobId(request.match_info["job"])
        found = unwrap_or_refuse(await self._request_handler.find_job(pool_id, job_id))
        if found is None:
            remedy = f"`medlarspring job list {pool_id}` shows those on record"
            raise OperatorRefusal(NotFound(f"job {job_id} in pool {pool_id}", remedy))
        return answer(found)

    def _origin(self, request: web.Request) -> str:
        return f"{request.remote} by {self._entry_vm}"


def _read_state(request: web.Request) -> JobState | None:
    text = request.query.get("state")
    if text is None:
        return None
    try:
        return JobState(text)
    except ValueError:
        known = ", ".join(state.value for state in JobState)
        raise OperatorRefusal(
            BadRequest(f"state: found {text!r}, wanted one of {known}.")
        ) from None


__all__ = ["JobRoutes"]
