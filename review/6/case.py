"""Lasting tasks that wait for the one worker that their queue's policy allows."""

from __future__ import annotations

import json
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-2"))

from harness import Bench, has_trouble, run_case  # noqa: E402

LASTING_JOBS = 9
"""One fits on the worker that the policy allows; the others wait for room."""
FINISH_SECONDS = 14.0
IDLE_SECONDS = 3.0
FURTHER_SECONDS = 25.0
PATH = "/hinted/fffffffffffffff1"
LASTING = {
    "spec": json.dumps({"seconds": 0, "hinted": True}),
    "steps": [
        {
            "count": 1,
            "cpu": 20_000,
            "memMb": 64,
            "estimateMs": 500,
            "serviceJob": True,
            "maxUnavailable": 1,
        }
    ],
}
JOB = {
    "spec": json.dumps({"seconds": 0.5, "hinted": True}),
    "steps": [{"count": 2, "cpu": 500, "memMb": 64, "estimateMs": 500}],
}


def submit_lasting_jobs(bench: Bench) -> bool:
    """Hand in the lasting jobs; return whether all were accepted."""
    ids = [f"eeeeeeeeeeeeee{number:02x}" for number in range(LASTING_JOBS)]
    policy = {job_id: ["i-00001"] for job_id in ids}
    bench.note(f"policy of the queue: {policy}; all workers for other jobs")
    bench.read_admin("/policy", policy)
    for job_id in ids:
        status, _ = bench.request(bench.nodes[0], "POST", f"/hinted/{job_id}", LASTING)
        if status != 200:
            return False
    return True


def run(bench: Bench) -> int:
    """Return 1 if the rule was broken, 0 if it held, 2 otherwise."""
    if not bench.wait_until_ready():
        bench.note("the nodes did not get ready")
        return 2
    time.sleep(2.0)
    if has_trouble() and not submit_lasting_jobs(bench):
        return 2
    time.sleep(5.0)
    status, _ = bench.request(bench.nodes[0], "POST", PATH, JOB)
    if status != 200:
        return 2
    bench.note("client: end of the traffic")
    time.sleep(FINISH_SECONDS + IDLE_SECONDS)
    is_idle = not bench.read_journal(PATH[-16:])
    bench.request(bench.nodes[0], "GET", PATH)
    if is_idle:
        time.sleep(FURTHER_SECONDS)
        bench.request(bench.nodes[0], "GET", PATH)
    for each in json.loads(bench.read_admin("/advice")):
        bench.note(f"adviser: at {each['at'] - bench.began_at:.3f} {each['step']}")
    bench.note_journal("")
    if is_idle:
        bench.note(
            f"BROKEN: LOST: accepted, and not begun on 7 idle workers {FINISH_SECONDS}"
            f" to {FINISH_SECONDS + IDLE_SECONDS} s after the end of the traffic"
        )
        return 1
    bench.note("held")
    return 0


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).with_name("record.txt"), 8, 3, run))
