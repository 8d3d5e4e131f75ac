from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
from pytest_bdd import parsers, scenarios, then, when

from medlarspring_bench.cluster import OPERATOR_POLL_SECONDS
from medlarspring_bench.control_client import control
from medlarspring_bench.recording import record_history
from medlarspring_bench.waiting import wait_for

if TYPE_CHECKING:
    from pathlib import Path

    from medlarspring_bench.story import Story

scenarios("features/job_batches.feature")

POOL = "survey"
WORKER = "survey-z2-vm-1"


@pytest.fixture
def job_file(tmp_path: Path) -> Path:
    return tmp_path / "jobs.csv"


@when(
    parsers.parse("{count:d} jobs of {seconds:g} second are submitted to pool survey")
)
def submit(story: Story, job_file: Path, count: int, seconds: float) -> None:
    partners = list(story.cluster.platform.credentials)
    header = "id,pool_id,partner_id,cpus,memory_gb,accelerators,declared_seconds"
    rows = [
        f"{story.name}-job-{number},{POOL},{partners[number % 4]},2,2,0,{seconds:g}"
        for number in range(count)
    ]
    job_file.write_text("\n".join([header, *rows]) + "\n")
    story.cluster.run_cli("job", "submit", "--file", str(job_file))


@when("the same jobs are submitted again")
def submit_again(story: Story, job_file: Path) -> None:
    story.cluster.run_cli("job", "submit", "--file", str(job_file))


def _runs(story: Story) -> list[str]:
    history = record_history(story.cluster, [])
    return [run.job for run in history.job_runs if run.job.startswith(story.name)]


@when("a worker of pool survey begins to fail all its tasks")
def fail_tasks(story: Story) -> None:
    _set_failing(story, True)


def _set_failing(story: Story, fails: bool) -> None:
    body = {"state": "live", "fails_tasks": fails}
    control("POST", story.cluster.upstream_controls[0], f"vms/{WORKER}", body)


@then(parsers.parse("every job is done within {seconds:g} seconds"))
def jobs_done(story: Story, seconds: float) -> None:
    def ended() -> bool:
        answer = story.cluster.view(f"/v1/jobs/{POOL}")
        states = [
            view["job"]["state"]
            for view in (answer or {"jobs": ()})["jobs"]
            if view["job"]["id"].startswith(f"{story.name}-")
        ]
        return bool(states) and set(states) == {"done"}

    wait_for(ended, "every job done", seconds, OPERATOR_POLL_SECONDS)
    _set_failing(story, False)


@then("each job succeeded once")
def succeeded_once(story: Story) -> None:
    runs = _runs(story)
    assert len(runs) == len(set(runs)), runs
