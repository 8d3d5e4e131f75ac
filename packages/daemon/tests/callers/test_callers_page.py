"""Runs the examples of docs/CALLERS.md, and compares its tables with the code."""

from __future__ import annotations

import argparse
import asyncio
import re
import shlex
from pathlib import Path

import aiohttp
from aiohttp import web
from yarl import URL

from medlarspring_tables.requests import Outcome, RefusalKind

from .conftest import CREDENTIALS

PAGE = (Path(__file__).parents[4] / "docs" / "CALLERS.md").read_text(encoding="utf-8")
EXAMPLE = re.compile(r"`(\d{3})(?: ([a-z-]+))?`:\n\n    (curl .+)\n")
VARIABLES = {
    "$CREDENTIAL": CREDENTIALS["njia"],
    "$LONG": "x" * 20_000,
    "$LARGE": "x" * 2_000_000,
}


def parse_curl(line: str) -> argparse.Namespace:
    """Parse the curl options that the page uses."""
    parser = argparse.ArgumentParser()
    parser.add_argument("url")
    parser.add_argument("-i", action="store_true")
    parser.add_argument("-X", dest="method")
    parser.add_argument("-H", dest="headers", action="append", default=[])
    parser.add_argument("-d", dest="data")
    return parser.parse_args(shlex.split(line)[1:])


async def run_curl(session: aiohttp.ClientSession, line: str, caller: str):
    wanted = parse_curl(line.replace("$CALLER", caller))
    headers = {}
    for header in wanted.headers:
        name, _, value = header.partition(": ")
        for variable, text in VARIABLES.items():
            value = value.replace(variable, text)
        headers[name] = value
    data = wanted.data and wanted.data.replace("$LARGE", VARIABLES["$LARGE"])
    method = wanted.method or ("POST" if data else "GET")
    async with session.request(
        method, URL(wanted.url, encoded=True), headers=headers, data=data
    ) as response:
        body = await response.read()
        document = (
            await response.json(content_type=None) if response.status >= 400 else {}
        )
        return response.status, document, body


async def answer_slowly(request: web.BaseRequest) -> web.StreamResponse:
    if request.path == "/slow":
        await asyncio.sleep(1.0)
    return web.Response(body=await request.read())


async def test_each_example_gets_the_documented_answer(bench):
    await bench.add_upstream(answer_slowly)
    entry_vm = await bench.start_entry_vm()
    caller = entry_vm.node.addresses["caller"]
    examples = EXAMPLE.findall(PAGE)
    assert len(examples) == PAGE.count("    curl ")
    for status, reason, line in examples:
        found, document, _ = await run_curl(entry_vm.session, line, caller)
        assert (found, document.get("reason", "")) == (int(status), reason), line
        if reason:
            kind = next(each for each in RefusalKind if each.code == reason)
            assert document["title"] == kind.title
            assert document["type"] == f"urn:medlarspring:problem:{reason}"
            assert document["request_id"]


def test_table_of_refusals_is_that_of_the_code():
    rows = re.findall(
        r"^\| `([a-z-]+)` \| (\d+) \| ([a-z, -]+) \| (.+) \|$", PAGE, re.M
    )
    assert [(row[0], int(row[1]), row[3]) for row in rows] == [
        (kind.code, kind.status, kind.title) for kind in RefusalKind
    ]
    outcomes = {outcome.value for outcome in Outcome}
    assert all(set(row[2].split(", ")) <= outcomes for row in rows)


def test_every_refusal_is_shown_or_explained():
    shown = PAGE.split("## Sending")[1].split("## Refusals\n")[0]
    explained = PAGE.split("## Refusals to try")[1]
    missing = [each.code for each in RefusalKind if each.code not in shown + explained]
    assert missing == []
