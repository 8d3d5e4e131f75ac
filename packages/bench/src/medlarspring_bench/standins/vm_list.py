"""Stand-in for the platform's VM list: Prometheus HTTP service discovery."""

from __future__ import annotations

import argparse
import asyncio
import time
from collections import deque
from typing import TYPE_CHECKING

import msgspec
from aiohttp import web
from msgspec import Struct, field

from medlarspring_bench.standins.server import (
    GATE_KEY,
    GatedApp,
    announce,
    create_control_app,
    json_response,
    open_control,
    run,
    split_address,
    wait_for_end,
)
from medlarspring_bench.standins.vm_control import VMControlService

if TYPE_CHECKING:
    from collections.abc import Callable


class ListEntry(Struct):
    """One target group in the format of Prometheus service discovery."""

    targets: list[str]
    labels: dict[str, str]


class StateChange(Struct):
    """Body of ``POST /control/vms/<id>``."""

    state: str


class GateTargets(Struct):
    """Addresses that one gate shows: those of the links of its zone."""

    gate: str
    targets_by_id: dict[str, str] = field(default_factory=dict)


class LaggingList:
    """A list of VMs whose changes become visible after a delay."""

    def __init__(self, lag_seconds: float, now: Callable[[], float]) -> None:
        self.lag_seconds = lag_seconds
        self._now = now
        self._entries_by_id: dict[str, ListEntry] = {}
        self._snapshots: deque[tuple[float, list[ListEntry]]] = deque([(0.0, [])])

    def replace(self, entries: list[ListEntry]) -> None:
        """Replace all entries; entries put into an empty list show at once."""
        first = not self._entries_by_id
        self._entries_by_id = {entry.labels["id"]: entry for entry in entries}
        self._save_snapshot(0.0 if first else self._now())

    def put(self, entry: ListEntry) -> None:
        """Add or change one entry."""
        self._entries_by_id[entry.labels["id"]] = entry
        self._save_snapshot(self._now())

    def change(self, id_: str, **labels: str) -> bool:
        """Change labels of one entry; returns False if it is not listed."""
        entry = self._entries_by_id.get(id_)
        if entry is None:
            return False
        self.put(ListEntry(entry.targets, {**entry.labels, **labels}))
        return True

    def remove(self, id_: str) -> None:
        """Remove one entry if it is listed."""
        self._entries_by_id.pop(id_, None)
        self._save_snapshot(self._now())

    def visible(self) -> list[ListEntry]:
        """Return the entries as they were ``lag_seconds`` ago."""
        horizon = self._now() - self.lag_seconds
        while len(self._snapshots) > 1 and self._snapshots[1][0] <= horizon:
            self._snapshots.popleft()
        return self._snapshots[0][1]

    def _save_snapshot(self, at: float) -> None:
        self._snapshots.append((at, list(self._entries_by_id.values())))


class VMListService:
    """HTTP handlers of the list and of its control port."""

    def __init__(self, lag_seconds: float) -> None:
        self.list = LaggingList(lag_seconds, time.monotonic)
        self.control = VMControlService(self.list)
        self._targets_by_gate: dict[str, dict[str, str]] = {}

    async def get_targets(self, request: web.Request) -> web.Response:
        """Return the visible entries with the addresses of the request's gate."""
        targets_by_id = self._targets_by_gate.get(request[GATE_KEY].name, {})
        return json_response(
            [_with_gate_target(entry, targets_by_id) for entry in self.list.visible()]
        )

    def add_control(self, app: web.Application) -> None:
        """Add the routes that change the list."""
        app.router.add_put("/control/vms", self._put_all)
        app.router.add_put("/control/vms/{id}", self._put_one)
        app.router.add_post("/control/vms/{id}", self._post_state)
        app.router.add_delete("/control/vms/{id}", self._delete_one)
        app.router.add_post("/control/targets", self._post_targets)

    async def _put_all(self, request: web.Request) -> web.Response:
        entries = msgspec.json.decode(await request.read(), type=list[ListEntry])
        self.list.replace(entries)
        self.control.add_entries(entries)
        return json_response({})

    async def _put_one(self, request: web.Request) -> web.Response:
        entry = msgspec.json.decode(await request.read(), type=ListEntry)
        self.list.put(entry)
        self.control.add_entries([entry])
        return json_response({})

    async def _post_state(self, request: web.Request) -> web.Response:
        change = msgspec.json.decode(await request.read(), type=StateChange)
        if not self.list.change(request.match_info["id"], state=change.state):
            return json_response({"error": "no such VM"}, 404)
        return json_response({})

    async def _delete_one(self, request: web.Request) -> web.Response:
        self.list.remove(request.match_info["id"])
        return json_response({})

    async def _post_targets(self, request: web.Request) -> web.Response:
        targets = msgspec.json.decode(await request.read(), type=GateTargets)
        self._targets_by_gate[targets.gate] = targets.targets_by_id
        return json_response({})


def _with_gate_target(entry: ListEntry, targets_by_id: dict[str, str]) -> ListEntry:
    target = targets_by_id.get(entry.labels["id"])
    return entry if target is None else ListEntry([target], entry.labels)


async def serve(options: argparse.Namespace) -> None:
    """Serve until SIGTERM."""
    service = VMListService(options.lag_seconds)
    app = web.Application()
    app.router.add_get("/targets", service.get_targets)
    service.control.add_routes(app)
    gated = GatedApp(app, options.gates.split(","))
    host, port = split_address(options.listen)
    await gated.open(host, port)
    control = create_control_app(gated.change_faults)
    service.add_control(control)
    service.control.add_control(control)
    control_address = await open_control(control, host)
    gates = {gate.name: gate.address for gate in gated.gates_by_name.values()}
    first = next(iter(gates.values()))
    announce(name="vm_list", address=first, gates=gates, control=control_address)
    running = asyncio.create_task(service.control.run())
    await wait_for_end()
    running.cancel()
    await gated.close()


def main() -> None:
    """Parse the command line and serve."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--listen", default="127.0.0.1:0")
    parser.add_argument("--gates", default="all", help="one port for each name")
    parser.add_argument("--lag-seconds", type=float, default=2.0)
    run(serve(parser.parse_args()))


if __name__ == "__main__":
    main()
