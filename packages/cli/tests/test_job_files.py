from __future__ import annotations

import pytest

from medlarspring_cli.job_files import read_jobs
from medlarspring_tables import JobUrgency, Size

JOBS_CSV = """\
id,pool_id,partner_id,cpus,memory_gb,declared_seconds,urgency,can_checkpoint
job-1,consent,ardhi,2,4.5,60,urgent,true
job-2,consent,ardhi,1,1,60,,
"""
DOCUMENT = (
    '{"id": "job-1", "pool_id": "consent", "partner_id": "ardhi", "declared":'
    ' {"cpus": 2, "memory_gb": 4.5}, "declared_seconds": 60}'
)


def test_csv_file_of_jobs_is_read():
    (first, second), faults = read_jobs(JOBS_CSV)
    assert faults == []
    assert first.declared == Size(2.0, 4.5, 0)
    assert (first.urgency, first.can_checkpoint) == (JobUrgency.URGENT, True)
    assert (second.urgency, second.can_checkpoint) == (JobUrgency.NORMAL, False)


def test_documents_are_read_line_by_line():
    jobs, faults = read_jobs(f"{DOCUMENT}\n\n{DOCUMENT}\n")
    assert (len(jobs), faults) == (2, [])


@pytest.mark.parametrize(
    ("text", "part"),
    [
        (JOBS_CSV.replace("4.5", "much"), "line 2: Expected `float`"),
        (JOBS_CSV.replace("urgent", "now"), "line 2: Invalid enum value 'now'"),
        (JOBS_CSV.replace("id,pool", "name,pool"), "contains unknown field `name`"),
        (JOBS_CSV.replace("true", "true,1"), "line 2: more cells than columns"),
        (f"{DOCUMENT}\n{{}}", "line 2: Object missing required field"),
        ('{"id"', "line 1: Input data was truncated"),
    ],
)
def test_faults_name_their_line(text, part):
    assert part in read_jobs(text)[1][0]
