"""Stand-in for the platform's VM control, in one process with the VM list."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from typing import TYPE_CHECKING

import aiohttp
import msgspec
from aiohttp import web
from msgspec import Struct, field

from medlarspring_adapters.clock import SystemClock
from medlarspring_bench.standins.server import json_response
from medlarspring_bench.vm_control_state import (
    ActionRefused,
    Condition,
    VMControlState,
    VMRow,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from medlarspring_bench.standins.vm_list import LaggingList, ListEntry

STEP_SECONDS = 0.05
POLL_SECONDS = 1.0
UPSTREAM_ROLE = "upstream"


class Action(Struct):
    """Body of a call that drains, reboots, restores or assigns a VM."""

    revision: int
    pool: str = ""


class ControlFaults(Struct):
    """Body of ``POST /control/vm-faults``.

    ``never_return`` and ``fail`` replace the former sets of VM ids.
    """

    never_return: list[str] | None = None
    fail: list[str] | None = None
    racks_down: list[str] = field(default_factory=list)
    racks_up: list[str] = field(default_factory=list)
    drain_seconds: float | None = None
    reboot_seconds: float | None = None


class UpstreamControls(Struct):
    """Body of ``POST /control/upstreams``: control ports of upstream stand-ins."""

    controls: list[str]


class UpstreamReport(Struct):
    """The part of an upstream stand-in's report on one VM that is used here."""

    running: int


class VMControlService:
    """HTTP handlers of VM control and the loop that advances VM conditions."""

    def __init__(self, listing: LaggingList) -> None:
        self.state = VMControlState(SystemClock())
        self._listing = listing
        self._controls: list[str] = []
        self._published_by_id: dict[str, Condition] = {}
        self._control_by_id: dict[str, str] = {}

    def add_entries(self, entries: list[ListEntry]) -> None:
        """Add the upstream VMs among the entries to the VMs under control."""
        for entry in entries:
            labels = entry.labels
            if labels.get("role", UPSTREAM_ROLE) != UPSTREAM_ROLE:
                continue
            self.state.add(
                VMRow(
                    id=labels["id"],
                    pool=labels.get("pool", ""),
                    rack=labels.get("rack", ""),
                    zone=labels.get("zone", ""),
                )
            )
            self._published_by_id.setdefault(labels["id"], Condition.SERVING)

    def add_routes(self, app: web.Application) -> None:
        """Add the routes that VM control offers to its clients."""
        state = self.state
        app.router.add_get("/control/vms", self._get_vms)
        actions: dict[str, Callable[[str, Action], VMRow]] = {
            "drain": lambda id_, action: state.drain(id_, action.revision),
            "reboot": lambda id_, action: state.reboot(id_, action.revision),
            "restore": lambda id_, action: state.restore(id_, action.revision),
            "assign": lambda id_, action: state.assign(
                id_, action.revision, action.pool
            ),
        }
        for name, apply_action in actions.items():
            app.router.add_post(
                f"/control/vms/{{id}}/{name}", self._handler(apply_action)
            )

    def add_control(self, app: web.Application) -> None:
        """Add the routes of the stand-in's control port."""
        app.router.add_post("/control/vm-faults", self._post_faults)
        app.router.add_post("/control/upstreams", self._post_upstreams)

    async def run(self) -> None:
        """Advance VMs and publish their conditions to the list and the upstreams."""
        timeout = aiohttp.ClientTimeout(total=POLL_SECONDS)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while True:
                # An upstream stand-in that is paused or gone must not stop this
                # loop; its VMs are polled again in the next pass.
                with suppress(aiohttp.ClientError, TimeoutError):
                    await self._count_running(session)
                self.state.step()
                for row in self.state.rows_by_id.values():
                    if self._published_by_id.get(row.id) is not row.condition:
                        await self._publish_condition(session, row)
                await asyncio.sleep(STEP_SECONDS)

    async def _count_running(self, session: aiohttp.ClientSession) -> None:
        rows = self.state.rows_by_id.values()
        if not any(row.condition is Condition.DRAINING for row in rows):
            return
        for control in self._controls:
            async with session.get(f"http://{control}/control/vms") as response:
                body = await response.read()
            reports_by_id = msgspec.json.decode(body, type=dict[str, UpstreamReport])
            for id_, upstream_report in reports_by_id.items():
                self.state.running_by_id[id_] = upstream_report.running

    async def _publish_condition(
        self, session: aiohttp.ClientSession, row: VMRow
    ) -> None:
        self._published_by_id[row.id] = row.condition
        is_serving = row.condition is Condition.SERVING
        listed = "live" if is_serving else "leaving"
        state = "live" if is_serving else "draining"
        self._listing.change(row.id, state=listed, pool=row.pool)
        control = self._control_by_id.get(row.id)
        if control is None:
            return
        is_unavailable = row.condition in (Condition.REBOOTING, Condition.DOWN)
        url = f"http://{control}/control"
        with suppress(aiohttp.ClientError, TimeoutError):
            async with session.post(
                f"{url}/faults", json={"gate": row.id, "down": is_unavailable}
            ):
                pass
            async with session.post(f"{url}/vms/{row.id}", json={"state": state}):
                pass

    async def _get_vms(self, request: web.Request) -> web.Response:
        pools = request.query.getall("pool", [])
        ids = request.query.getall("vm", [])
        return json_response(self.state.find(pools, ids))

    def _handler(
        self, apply_action: Callable[[str, Action], VMRow]
    ) -> Callable[[web.Request], Awaitable[web.StreamResponse]]:
        async def handle(request: web.Request) -> web.Response:
            try:
                action = msgspec.json.decode(await request.read(), type=Action)
                row = apply_action(request.match_info["id"], action)
            except msgspec.MsgspecError as error:
                return json_response({"reason": str(error)}, 400)
            except KeyError:
                return json_response({"reason": "unknown VM"}, 404)
            except ActionRefused as error:
                return json_response({"reason": error.reason}, 409)
            return json_response(row)

        return handle

    async def _post_faults(self, request: web.Request) -> web.Response:
        change = msgspec.json.decode(await request.read(), type=ControlFaults)
        faults, times = self.state.faults, self.state.times
        if change.never_return is not None:
            faults.never_return = set(change.never_return)
        if change.fail is not None:
            faults.fail = set(change.fail)
        for rack in change.racks_down:
            self.state.set_rack_down(rack, down=True)
        for rack in change.racks_up:
            self.state.set_rack_down(rack, down=False)
        if change.drain_seconds is not None:
            times.drain_seconds = change.drain_seconds
        if change.reboot_seconds is not None:
            times.reboot_seconds = change.reboot_seconds
        return json_response({})

    async def _post_upstreams(self, request: web.Request) -> web.Response:
        upstreams = msgspec.json.decode(await request.read(), type=UpstreamControls)
        self._controls = upstreams.controls
        async with aiohttp.ClientSession() as session:
            for control in upstreams.controls:
                async with session.get(f"http://{control}/control/vms") as response:
                    for id_ in await response.json():
                        self._control_by_id[id_] = control
        return json_response({})


__all__ = ["VMControlService"]
