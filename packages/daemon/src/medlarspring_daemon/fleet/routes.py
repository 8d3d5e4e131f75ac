"""Routes of the operator port for pools, VMs, waves, moves and spare capacity."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aiohttp import web
from returns.pipeline import is_successful

from medlarspring_adapters.fleet_api import (
    ChangeWave,
    MovesAnswer,
    PoolsAnswer,
    StartMoves,
    StartWave,
    VMsAnswer,
    WavesAnswer,
)
from medlarspring_daemon.fleet.views import (
    view_pool,
    view_spare,
    view_vm,
    view_wave,
)
from medlarspring_daemon.operators.answers import (
    BadRequest,
    NotFound,
    OperatorRefusal,
    answer,
    read_body,
    unwrap_or_refuse,
)
from medlarspring_systems.spare import FailureDomain
from medlarspring_tables import VMId, WaveId
from medlarspring_tables.vms import VMState

if TYPE_CHECKING:
    from medlarspring_adapters.vm_control import VMControl
    from medlarspring_daemon.fleet.command_handler import FleetCommandHandler
    from medlarspring_daemon.node import Node
    from medlarspring_tables import ConfigTable
    from medlarspring_tables.fleet_tables import FleetTables


class FleetRoutes:
    """Handlers that use the records in the store; any entry VM can serve them."""

    def __init__(
        self,
        node: Node,
        command_handler: FleetCommandHandler,
        vm_control: VMControl | None,
    ) -> None:
        self._node = node
        self._command_handler = command_handler
        self._vm_control = vm_control

    def routes(self) -> list[web.RouteDef]:
        """Return the routes of the fleet."""
        return [
            web.get("/v1/pools", self._list_pools),
            web.get("/v1/spare", self._show_spare),
            web.get("/v1/vms", self._list_vms),
            web.get("/v1/vms/{vm}", self._show_vm),
            web.get("/v1/waves", self._list_waves),
            web.post("/v1/waves", self._start_wave),
            web.get("/v1/waves/{wave}", self._show_wave),
            web.post("/v1/waves/{wave}/{action:pause|resume|abort}", self._change_wave),
            web.get("/v1/moves", self._list_moves),
            web.post("/v1/moves", self._start_moves),
        ]

    async def _list_pools(self, request: web.Request) -> web.Response:
        tables = await self._load()
        rows = self._config().pools_by_id.values()
        return answer(PoolsAnswer(pools=tuple(view_pool(tables, row) for row in rows)))

    async def _show_spare(self, request: web.Request) -> web.Response:
        text = request.query.get("domain", FailureDomain.RACK.value)
        try:
            domain = FailureDomain(text)
        except ValueError:
            reason = f"domain: found {text!r}, wanted rack or zone."
            raise OperatorRefusal(BadRequest(reason)) from None
        return answer(view_spare(await self._load(), self._config(), domain))

    async def _list_vms(self, request: web.Request) -> web.Response:
        tables = await self._load()
        pool, state = request.query.get("pool"), _read_state(request)
        views = [
            view_vm(tables, record)
            for _, record in sorted(tables.vms_by_id.items())
            if pool in (None, record.pool_id) and state in (None, record.state)
        ]
        return answer(VMsAnswer(vms=tuple(views)))

    async def _show_vm(self, request: web.Request) -> web.Response:
        tables = await self._load()
        vm_id = VMId(request.match_info["vm"])
        record = tables.vms_by_id.get(vm_id)
        if record is None:
            remedy = "`medlarspring vm list` shows those on record"
            raise OperatorRefusal(NotFound(f"VM {vm_id}", remedy))
        return answer(view_vm(tables, record))

    async def _list_waves(self, request: web.Request) -> web.Response:
        tables, config, now = await self._load(), self._config(), self._now()
        waves = sorted(tables.waves_by_id.values(), key=lambda wave: -wave.started_at)
        views = tuple(view_wave(tables, wave, config, now) for wave in waves)
        return answer(WavesAnswer(waves=views))

    async def _show_wave(self, request: web.Request) -> web.Response:
        tables = await self._load()
        wave_id = WaveId(request.match_info["wave"])
        wave = tables.waves_by_id.get(wave_id)
        if wave is None:
            remedy = "`medlarspring wave list` shows those on record"
            raise OperatorRefusal(NotFound(f"wave {wave_id}", remedy))
        return answer(view_wave(tables, wave, self._config(), self._now()))

    async def _start_wave(self, request: web.Request) -> web.Response:
        command = await read_body(request, StartWave)
        started = await self._command_handler.start_wave(
            command, self._config(), _origin(request)
        )
        return answer(await self._view(unwrap_or_refuse(started).id))

    async def _change_wave(self, request: web.Request) -> web.Response:
        changed = await self._command_handler.change_wave(
            WaveId(request.match_info["wave"]),
            request.match_info["action"],
            await read_body(request, ChangeWave),
            self._config(),
            _origin(request),
        )
        return answer(await self._view(unwrap_or_refuse(changed).id))

    async def _view(self, wave_id: WaveId) -> object:
        tables = await self._load()
        wave = tables.waves_by_id[wave_id]
        return view_wave(tables, wave, self._config(), self._now())

    async def _list_moves(self, request: web.Request) -> web.Response:
        tables = await self._load()
        moves = sorted(tables.moves_by_id.values(), key=lambda move: -move.created_at)
        return answer(MovesAnswer(moves=tuple(moves)))

    async def _start_moves(self, request: web.Request) -> web.Response:
        command = await read_body(request, StartMoves)
        moves = await self._command_handler.start_moves(
            command, self._config(), _origin(request)
        )
        return answer(MovesAnswer(moves=unwrap_or_refuse(moves)))

    async def _load(self) -> FleetTables:
        """Read the fleet records, and the platform's view of the VMs if available."""
        tables = unwrap_or_refuse(await self._command_handler.load())
        if self._vm_control is not None:
            observed = await self._vm_control.read_vms((), ())
            if is_successful(observed):
                for observation in observed.unwrap():
                    tables.observations_by_id[observation.vm_id] = observation
        return tables

    def _config(self) -> ConfigTable:
        config = self._node.config
        if config is None:
            remedy = "this entry VM has not received it yet; ask another one"
            raise OperatorRefusal(NotFound("table in force", remedy))
        return config

    def _now(self) -> float:
        return self._node.clock.wall()


def _origin(request: web.Request) -> str:
    return request.remote or "unknown"


def _read_state(request: web.Request) -> VMState | None:
    text = request.query.get("state")
    if text is None:
        return None
    try:
        return VMState(text)
    except ValueError:
        known = ", ".join(state.value for state in VMState)
        reason = f"state: found {text!r}, wanted one of {known}."
        raise OperatorRefusal(BadRequest(reason)) from None


__all__ = ["FleetRoutes"]
