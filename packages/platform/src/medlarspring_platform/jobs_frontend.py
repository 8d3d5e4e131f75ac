"""The customers' HTTP interface to jobs, and the readiness probe."""

from __future__ import annotations

import math
import re
from http import HTTPStatus
from typing import TYPE_CHECKING

import msgspec
from aiohttp import web
from msgspec import Struct
from returns.pipeline import is_successful

from medlarspring_adapters.decoding import decode_json
from medlarspring_daemon.scheduling.intake import JobStatus
from medlarspring_daemon.scheduling.intake_errors import (
    ControllerLate,
    CountUnknown,
    CredentialUnknown,
    JobOfOtherPartner,
    NoSuchJob,
    NoSuchQueue,
    NotReady,
    OutcomeUnknown,
    ShareExceeded,
)
from medlarspring_platform import wire
from medlarspring_systems.scheduling.admission import JobInvalid, check_job
from medlarspring_systems.scheduling.quotas import JobExceedsQuota
from medlarspring_tables import JobId, MedlarspringError
from medlarspring_tables.bounds import Whole
from medlarspring_tables.scheduling import JobSpec, StepSpec

if TYPE_CHECKING:
    from returns.result import Result

    from medlarspring_daemon.scheduling.intake_errors import IntakeError
    from medlarspring_daemon.scheduling.operator_records import AdmittedCall
    from medlarspring_daemon.scheduling.service import SchedulingService

DEFAULT_TIMEOUT_SECONDS = 3.0
"""Used for requests without a deadline header."""
MAX_TIMEOUT_SECONDS = 30.0
JOB_ID = re.compile(r"[0-9a-f]{16}")

_STATE_NAMES_BY_STATUS = {
    JobStatus.QUEUED: "queued",
    JobStatus.ACTIVE: "active",
    JobStatus.COMPLETE: "complete",
    JobStatus.FAILED: "failed",
    JobStatus.CANCELLED: "canceled",
}
_HTTP_BY_ERROR: dict[type[MedlarspringError], HTTPStatus] = {
    NoSuchJob: HTTPStatus.GONE,
    NoSuchQueue: HTTPStatus.NOT_FOUND,
    CredentialUnknown: HTTPStatus.UNAUTHORIZED,
    JobOfOtherPartner: HTTPStatus.FORBIDDEN,
    NotReady: HTTPStatus.SERVICE_UNAVAILABLE,
    ControllerLate: HTTPStatus.SERVICE_UNAVAILABLE,
    CountUnknown: HTTPStatus.SERVICE_UNAVAILABLE,
    ShareExceeded: HTTPStatus.TOO_MANY_REQUESTS,
    OutcomeUnknown: HTTPStatus.GATEWAY_TIMEOUT,
    JobInvalid: HTTPStatus.BAD_REQUEST,
    JobExceedsQuota: HTTPStatus.BAD_REQUEST,
}


class WireStep(Struct, rename="camel"):
    """A step; fields that are 0, false or empty may be omitted."""

    count: Whole
    cpu: Whole = 0
    mem_mb: Whole = 0
    gpu: Whole = 0
    estimate_ms: Whole = 0
    after: list[Whole] = []
    checkpointing: bool = False
    gang: bool = False
    same_rack: bool = False
    requires: str = ""
    affinity: str = ""
    """Rack that holds the step's data."""
    max_per_server: Whole = 0
    """Most tasks of the step that one worker may run at a time."""
    speculative: bool = False
    service_job: bool = False
    """Runs until the job is cancelled."""
    max_unavailable: Whole = 0
    image: str = ""
    target_ms: Whole = 0
    fills: bool = False
    """Best-effort: uses leftover CPU; its ``cpu`` is not counted."""


class WireJob(Struct, rename="camel"):
    """A job as submitted."""

    spec: str
    """Opaque payload for the workers; the job's structure is in ``steps``."""
    steps: list[WireStep]
    times: Whole = 0
    start_at_ms: Whole = 0
    interval_ms: Whole = 0


class WireState(Struct):
    """State of a job."""

    state: str


class WirePending(Struct):
    """Number of jobs of a queue that have not started."""

    pending: int


class WireProblem(Struct):
    """Error body: code and message of a request that was not carried out."""

    error: str
    message: str


class JobsFrontend:
    """Translates between HTTP and the job intake."""

    def __init__(self, service: SchedulingService) -> None:
        self._service = service
        self.closing = False
        """Whether each response closes its connection (set during shutdown)."""

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Handle one request of a customer."""
        response = await self._answer(request)
        if self.closing:
            response.force_close()
        return response

    async def _answer(self, request: web.BaseRequest) -> web.Response:
        admitted = self._admit(request)
        if not is_successful(admitted):
            return _refuse(admitted.failure())
        call = admitted.unwrap()
        if not call.match.rest:
            return await self._count(request, call)
        if not JOB_ID.fullmatch(call.match.rest):
            return _problem(
                HTTPStatus.BAD_REQUEST,
                "job-id-invalid",
                "A job's id is 16 hexadecimal digits in lower case.",
            )
        job_id = JobId(call.match.rest)
        if request.method == "POST":
            return await self._submit(request, job_id)
        if request.method == "GET":
            return await self._find_status(request, call, job_id)
        if request.method == "DELETE":
            return await self._cancel(request, call, job_id)
        return _wrong_method("GET, POST or DELETE")

    def _admit(self, request: web.BaseRequest) -> Result[AdmittedCall, IntakeError]:
        return self._service.operator_records.admit(
            request.headers.get("Host", ""),
            request.path,
            request.headers.get("Authorization", ""),
        )

    async def _count(
        self, request: web.BaseRequest, call: AdmittedCall
    ) -> web.Response:
        if request.method != "GET":
            return _wrong_method("GET")
        timeout = _read_timeout(request)
        queue_id = call.match.queue.id
        counted = await self._service.intake.count_waiting(queue_id, timeout)
        if not is_successful(counted):
            return _refuse(counted.failure())
        return _json(WirePending(counted.unwrap()))

    async def _submit(self, request: web.BaseRequest, job_id: JobId) -> web.Response:
        config = self._service.operator_records.config
        assert config is not None
        body = await _read_body(request, config.max_body_bytes)
        if body is None:
            return _problem(
                HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
                "body-too-large",
                f"A job has at most {config.max_body_bytes} bytes. Split it.",
            )
        decoded = decode_json(body, WireJob)
        if not is_successful(decoded):
            detail = decoded.failure().detail
            return _refuse(JobInvalid(detail, "Correct this field."))
        spec = _to_spec(decoded.unwrap())
        fault = check_job(spec)
        if fault is not None:
            return _refuse(fault)
        # The configuration may have changed while the body was read.
        admitted = self._admit(request)
        if not is_successful(admitted):
            return _refuse(admitted.failure())
        call = admitted.unwrap()
        accepted = await self._service.intake.submit(
            call.match.queue, job_id, spec, call.caller, _read_timeout(request)
        )
        if not is_successful(accepted):
            return _refuse(accepted.failure())
        return _json(WireState(_STATE_NAMES_BY_STATUS[JobStatus.QUEUED]))

    async def _find_status(
        self, request: web.BaseRequest, call: AdmittedCall, job_id: JobId
    ) -> web.Response:
        timeout = _read_timeout(request)
        found = await self._service.intake.find_status(job_id, call.caller, timeout)
        if not is_successful(found):
            return _refuse(found.failure())
        return _json(WireState(_STATE_NAMES_BY_STATUS[found.unwrap()]))

    async def _cancel(
        self, request: web.BaseRequest, call: AdmittedCall, job_id: JobId
    ) -> web.Response:
        timeout = _read_timeout(request)
        cancelled = await self._service.intake.cancel(job_id, call.caller, timeout)
        if not is_successful(cancelled):
            return _refuse(cancelled.failure())
        return _json(WireState(_STATE_NAMES_BY_STATUS[JobStatus.CANCELLED]))

    async def handle_readiness(self, request: web.BaseRequest) -> web.StreamResponse:
        """Handle the load balancer's readiness probe."""
        if request.path != wire.READY_PATH:
            return web.Response(status=HTTPStatus.NOT_FOUND)
        ready = self._service.is_ready()
        status = HTTPStatus.OK if ready else HTTPStatus.SERVICE_UNAVAILABLE
        return web.Response(status=status)


def _read_timeout(request: web.BaseRequest) -> float:
    """Return the request's timeout in seconds, from its deadline header."""
    text = request.headers.get(wire.DEADLINE_HEADER, "")
    try:
        seconds = float(text) / 1_000.0
    except ValueError:
        return DEFAULT_TIMEOUT_SECONDS
    if math.isnan(seconds):
        return DEFAULT_TIMEOUT_SECONDS
    return min(max(seconds, 0.0), MAX_TIMEOUT_SECONDS)


async def _read_body(request: web.BaseRequest, limit: int) -> bytes | None:
    """Return the whole body, or None if it is longer than allowed."""
    length = request.content_length
    if length is not None and length > limit:
        return None
    body = bytearray()
    async for chunk in request.content.iter_any():
        body += chunk
        if len(body) > limit:
            return None
    return bytes(body)


def _to_spec(job: WireJob) -> JobSpec:
    return JobSpec(
        payload=job.spec,
        steps=tuple(_to_step(step) for step in job.steps),
        occurrences=job.times,
        first_at_ms=job.start_at_ms,
        interval_ms=job.interval_ms,
    )


def _to_step(step: WireStep) -> StepSpec:
    return StepSpec(
        count=step.count,
        cpu_millis=step.cpu,
        memory_mb=step.mem_mb,
        accelerators=step.gpu,
        estimate_ms=step.estimate_ms,
        after=tuple(step.after),
        checkpoints=step.checkpointing,
        gang=step.gang,
        same_rack=step.same_rack,
        required_label=step.requires,
        data_rack=step.affinity,
        max_per_worker=step.max_per_server,
        speculative=step.speculative,
        long_running=step.service_job,
        max_unavailable=step.max_unavailable,
        image=step.image,
        latency_target_ms=step.target_ms,
        uses_leftover=step.fills,
    )


def _json(message: Struct, status: HTTPStatus = HTTPStatus.OK) -> web.Response:
    return web.Response(
        status=status,
        body=msgspec.json.encode(message),
        content_type="application/json",
    )


def _problem(status: HTTPStatus, code: str, message: str) -> web.Response:
    return _json(WireProblem(code, message), status)


def _refuse(error: MedlarspringError) -> web.Response:
    response = _problem(_HTTP_BY_ERROR[type(error)], error.code, error.message())
    if isinstance(error, NotReady | ControllerLate | CountUnknown | ShareExceeded):
        response.headers["Retry-After"] = str(error.retry_after)
    if isinstance(error, NotReady):
        # An entry VM that cannot reach the store leaves the balancer's rotation, but
        # open connections stay with it. Closing them lets the customer's next attempt
        # reach another entry VM: 0.02 more of the payoff on five days with outages
        # (paired runs with the same seed).
        response.force_close()
    if isinstance(error, CredentialUnknown):
        response.headers["WWW-Authenticate"] = "Bearer"
    return response


def _wrong_method(allowed: str) -> web.Response:
    return _problem(
        HTTPStatus.METHOD_NOT_ALLOWED, "method-not-allowed", f"Use {allowed}."
    )


__all__ = ["JobsFrontend"]
