"""Reads files of jobs: CSV with a header line, or one JSON document per line."""

from __future__ import annotations

import csv
import io

import msgspec
from returns.pipeline import is_successful

from medlarspring_adapters.decoding import decode_json
from medlarspring_adapters.job_api import JobRequest

SIZE_COLUMNS = ("cpus", "memory_gb", "accelerators")


def read_jobs(text: str) -> tuple[list[JobRequest], list[str]]:
    """Return the jobs and the faults of the file, one message per faulty line."""
    if text.lstrip("\ufeff \n").startswith("{"):
        return _read_documents(text)
    return _read_csv(text)


def _read_documents(text: str) -> tuple[list[JobRequest], list[str]]:
    jobs: list[JobRequest] = []
    faults: list[str] = []
    for number, line in enumerate(text.removeprefix("\ufeff").splitlines(), 1):
        if not line.strip():
            continue
        decoded = decode_json(line.encode(), JobRequest)
        if is_successful(decoded):
            jobs.append(decoded.unwrap())
        else:
            faults.append(f"line {number}: {decoded.failure().detail}")
    return jobs, faults


def _read_csv(text: str) -> tuple[list[JobRequest], list[str]]:
    reader = csv.DictReader(io.StringIO(text.removeprefix("\ufeff")))
    jobs: list[JobRequest] = []
    faults: list[str] = []
    for cells in reader:
        if None in cells:
            faults.append(f"line {reader.line_num}: more cells than columns")
            continue
        filled = {name: cell.strip() for name, cell in cells.items() if cell}
        declared = {name: filled.pop(name) for name in SIZE_COLUMNS if name in filled}
        if not filled and not declared:
            continue
        document = {**filled, "declared": declared}
        try:
            jobs.append(msgspec.convert(document, JobRequest, strict=False))
        except (msgspec.ValidationError, ValueError, OverflowError) as error:
            faults.append(f"line {reader.line_num}: {error}")
    return jobs, faults


__all__ = ["read_jobs"]
