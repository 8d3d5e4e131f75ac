"""Entry point of ``medlarspring-platformd``, the daemon for the users' platform."""

from __future__ import annotations

import asyncio
import os
import random
import signal
import sys
from http import HTTPStatus
from pathlib import Path
from typing import TYPE_CHECKING, NoReturn

import aiomisc
import uvloop
from aiohttp import web
from returns.pipeline import is_successful

from medlarspring_adapters.background_tasks import BackgroundTasks
from medlarspring_adapters.clock import SuspendAwareClock
from medlarspring_adapters.events import Event, create_bounded_log
from medlarspring_adapters.library_log import redirect_library_logs
from medlarspring_adapters.prometheus_metrics import PrometheusMetrics
from medlarspring_daemon.garbage_collection import configure_garbage_collection
from medlarspring_daemon.process_end import end_process
from medlarspring_daemon.scheduling.context import SchedulingNode
from medlarspring_daemon.scheduling.service import create_scheduling_service
from medlarspring_platform import wire
from medlarspring_platform.advice import PlatformAdviser
from medlarspring_platform.jobs_frontend import JobsFrontend
from medlarspring_platform.machines import PlatformMachines
from medlarspring_platform.operator_records import PlatformCodec
from medlarspring_platform.settings import read_settings
from medlarspring_platform.store import PlatformStore
from medlarspring_platform.workers import PlatformWorkers
from medlarspring_tables import EntryVMId

if TYPE_CHECKING:
    from medlarspring_daemon.scheduling.service import SchedulingService
    from medlarspring_platform.settings import PlatformSettings

EXIT_SETTINGS = 2
METRICS_PORT = 9464
METRICS_PATH = "/metrics"
"""As stated in ``deploy/system.toml``, from which the platform reads the address."""
REPORT_SECONDS = 1.0
"""Interval at which the counts of dropped log lines are logged."""
DRAIN_SECONDS = 2.6
"""Time for which customers' connections are served after the stop signal: the
balancer sends new ones until two probes have failed, at one probe a second."""
CLOSE_SECONDS = 1.5
"""Longest wait for responses in flight after ``DRAIN_SECONDS``."""
IDLE_SECONDS = 75.0
"""Keep-alive time of customers' idle connections; the balancer distributes load by
connection."""


class PlatformDaemon(aiomisc.Service):
    """Service of the daemon process on one entry VM."""

    def __init__(self, settings: PlatformSettings) -> None:
        super().__init__()
        self._settings = settings
        self._clock = SuspendAwareClock()
        self._log = create_bounded_log(
            EntryVMId(settings.node), self._clock, sys.stdout.fileno()
        )
        self._metrics = PrometheusMetrics()
        self._tasks = BackgroundTasks(self._log)
        self._runners: list[web.ServerRunner] = []

    async def start(self) -> None:
        """Open the ports and join the other entry VMs."""
        redirect_library_logs(self._log)
        self._node = self._create_node()
        self._service: SchedulingService = create_scheduling_service(self._node)
        self._frontend = JobsFrontend(self._service)
        readiness = await self._serve(
            self._frontend.handle_readiness, self._settings.readiness
        )
        caller = await self._serve(self._frontend.handle, self._settings.frontend)
        await self._serve_metrics()
        await self._service.start()
        self._tasks.run_with_restart(self._report_dropped_lines)
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        self._log.info(Event.LISTENING, caller=caller, readiness=readiness)

    async def stop(self, exception: Exception | None = None) -> None:
        """Hand over the cells, serve until the balancer has stopped routing, exit."""
        self._log.info(Event.STOPPING)
        self._node.stopping = True
        self._frontend.closing = True
        began_at = self._clock.now()
        await self._service.stop()
        remaining = DRAIN_SECONDS - (self._clock.now() - began_at)
        await asyncio.sleep(max(remaining, 0.0))
        for runner in reversed(self._runners):
            await runner.cleanup()
        await self._close_clients()
        await self._tasks.cancel()
        self._log.info(Event.STOPPED)
        self._log.close()

    async def _serve_metrics(self) -> None:
        """Open the metrics address; without it the daemon runs without metrics."""
        address = f"{self._settings.inner_host}:{METRICS_PORT}"
        try:
            await self._serve(self._handle_metrics, address)
        except OSError as error:
            self._log.warning(
                Event.METRICS_UNSERVED, address=address, fault=error.strerror or ""
            )

    async def _handle_metrics(self, request: web.BaseRequest) -> web.StreamResponse:
        if request.path != METRICS_PATH:
            return web.Response(status=HTTPStatus.NOT_FOUND)
        return web.Response(body=self._metrics.render(), content_type="text/plain")

    async def _report_dropped_lines(self) -> None:
        while True:
            await asyncio.sleep(REPORT_SECONDS)
            dropped_by_event = self._log.pop_dropped_counts()
            if dropped_by_event:
                self._log.warning(Event.LINES_LEFT_OUT, lines_by_event=dropped_by_event)

    def _reload(self) -> None:
        read = read_settings(Path(os.environ[wire.CONFIG_VARIABLE]))
        if not is_successful(read):
            self._log.error(Event.SETTINGS_REFUSED, fault=read.failure().message())
            return
        self._node.limits = read.unwrap().limits
        self._log.info(Event.SETTINGS_RELOADED, node=read.unwrap().node)

    def _create_node(self) -> SchedulingNode:
        settings = self._settings
        rng = random.Random()
        self._store = PlatformStore(
            settings.store_address, self._clock, self._metrics, self._log
        )
        self._workers = PlatformWorkers()
        self._machines = PlatformMachines(settings.vm_control_address, self._log)
        self._adviser = None
        if settings.adviser_address:
            self._adviser = PlatformAdviser(settings.adviser_address)
        return SchedulingNode(
            id=EntryVMId(settings.node),
            incarnation=rng.getrandbits(62),
            clock=self._clock,
            rng=rng,
            log=self._log,
            metrics=self._metrics,
            store=self._store,
            store_health=self._store,
            codec=PlatformCodec(),
            orders=self._workers,
            lifecycle=self._machines,
            limits=settings.limits,
            adviser=self._adviser,
            cores=settings.cores,
            peer_address=f"{settings.inner_host}:{settings.inner_port}",
        )

    async def _serve(self, handler, address: str) -> str:  # type: ignore[no-untyped-def]
        """Open a port and return its address; port 0 selects a free port."""
        host, _, port = address.rpartition(":")
        server = web.Server(handler, access_log=None, keepalive_timeout=IDLE_SECONDS)
        runner = web.ServerRunner(server, shutdown_timeout=CLOSE_SECONDS)
        await runner.setup()
        await web.TCPSite(runner, host, int(port)).start()
        self._runners.append(runner)
        bound_host, bound_port = runner.addresses[0][:2]
        return f"{bound_host}:{bound_port}"

    async def _close_clients(self) -> None:
        await self._store.close()
        await self._workers.close()
        await self._machines.close()
        if self._adviser is not None:
            await self._adviser.close()


def _run(settings: PlatformSettings) -> NoReturn:
    with aiomisc.entrypoint(
        PlatformDaemon(settings),
        log_config=False,
        pool_size=2,
        loop_factory=uvloop.new_event_loop,
        shutdown_timeout=settings.limits.grace,
    ) as loop:
        configure_garbage_collection()
        loop.run_forever()
    end_process(0)


def main() -> int:
    """Run the daemon with the settings that the platform wrote.

    Return an exit status if it can't start; a normal end ends the process.
    """
    path = os.environ.get(wire.CONFIG_VARIABLE, "")
    if not path:
        print(f"Set {wire.CONFIG_VARIABLE} to the settings file.", file=sys.stderr)
        return EXIT_SETTINGS
    settings = read_settings(Path(path))
    if not is_successful(settings):
        print(settings.failure().message(), file=sys.stderr)
        return EXIT_SETTINGS
    _run(settings.unwrap())


if __name__ == "__main__":
    sys.exit(main())
