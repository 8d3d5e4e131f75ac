"""The ``medlarspring job submit`` command."""

from __future__ import annotations

import uuid

from cleo.helpers import argument, option

from medlarspring_adapters.job_api import JobRequest, SubmitAnswer, SubmitRequest
from medlarspring_cli.commands.operator_command import (
    OPERATOR_OPTION,
    OperatorCommand,
)
from medlarspring_cli.errors import UsageError
from medlarspring_cli.exit_codes import ExitCode
from medlarspring_cli.job_files import read_jobs
from medlarspring_tables import JobId, JobUrgency, PartnerId, PoolId, Size

URGENCIES = ", ".join(urgency.value for urgency in JobUrgency)
NOT_CONFIRMED = "job-not-saved"


class JobSubmitCommand(OperatorCommand):
    """Submit one job, or a file of jobs."""

    name = "job submit"
    description = "Submit one job of a partner to a pool, or a file of jobs"
    arguments = [
        argument("pool", "Pool that runs the job", optional=True),
        argument("partner", "Partner whose share it uses", optional=True),
    ]
    own_options = [
        option("id", None, "Id of the job; a new one by default", flag=False),
        option("cpus", None, "Declared processors", flag=False),
        option("memory-gb", None, "Declared memory", flag=False),
        option("accelerators", None, "Declared accelerators", flag=False, default="0"),
        option("seconds", None, "Declared run time", flag=False),
        option("kind", None, "Kind of job; sizes are estimated per kind", flag=False),
        option("urgency", None, f"One of {URGENCIES}", flag=False, default="normal"),
        option("can-checkpoint", None, "The job can be stopped and resumed"),
        option(
            "can-throttle", None, "The job can run with less (recorded, not used yet)"
        ),
        option(
            "file", None, "CSV file of jobs, or one JSON document per line", flag=False
        ),
        OPERATOR_OPTION,
    ]

    def run_command(self) -> int:
        """Send the jobs and print the result of each."""
        path = self.option("file")
        jobs = self._read_file(path) if path else (self._read_job(),)
        request = SubmitRequest(jobs=jobs, operator=self.find_operator())
        repeat_with = f"--file {path}" if path else f"--id {jobs[0].id}"
        client = self.create_client()
        answer = client.post("/v1/jobs", request, SubmitAnswer, repeat_with)
        if self.wants_json:
            self.print_json(answer)
        else:
            self._print_answer(answer)
        if any(refused.code == NOT_CONFIRMED for refused in answer.refused):
            return ExitCode.UNKNOWN
        return ExitCode.REFUSED if answer.refused else ExitCode.OK

    def _read_job(self) -> JobRequest:
        pool, partner = self.argument("pool"), self.argument("partner")
        if not pool or not partner:
            raise UsageError("Name the pool and the partner, or give --file FILE.")
        size = Size(
            self._read_number("cpus"),
            self._read_number("memory-gb"),
            int(self._read_number("accelerators")),
        )
        if self.option("urgency") not in {urgency.value for urgency in JobUrgency}:
            raise UsageError(f"--urgency takes one of {URGENCIES}.")
        return JobRequest(
            id=JobId(self.option("id") or str(uuid.uuid4())),
            pool_id=PoolId(pool),
            partner_id=PartnerId(partner),
            declared=size,
            declared_seconds=self._read_number("seconds"),
            kind=self.option("kind") or "default",
            urgency=JobUrgency(self.option("urgency")),
            can_checkpoint=bool(self.option("can-checkpoint")),
            can_throttle=bool(self.option("can-throttle")),
        )

    def _read_number(self, name: str) -> float:
        text = self.option(name)
        try:
            return float(text)
        except (TypeError, ValueError):
            found = "nothing" if text is None else repr(text)
            raise UsageError(f"--{name}: found {found}, wanted a number.") from None

    def _read_file(self, path: str) -> tuple[JobRequest, ...]:
        jobs, faults = read_jobs(self.read_text(path, "Job file"))
        if faults:
            raise UsageError("\n".join(f"{path}: {fault}" for fault in faults))
        if not jobs:
            raise UsageError(f"{path} holds no job.")
        return tuple(jobs)

    def _print_answer(self, answer: SubmitAnswer) -> None:
        for job_id in answer.accepted:
            self.print_text(f"accepted {job_id}")
        for job_id in answer.repeated:
            self.print_text(f"accepted before {job_id}")
        for refused in answer.refused:
            self.print_text(f"refused  {refused.id}: {refused.message}")


__all__ = ["JobSubmitCommand"]
