"""Entry point of ``medlarspringd``."""

from __future__ import annotations

import argparse
import random
import sys
from pathlib import Path
from typing import TYPE_CHECKING, NoReturn

import aiomisc
import uvloop
from returns.pipeline import is_successful

from medlarspring_adapters.clock import SystemClock
from medlarspring_adapters.events import Event, create_event_log
from medlarspring_adapters.metrics import NoMetrics, StatsdMetrics
from medlarspring_daemon.components import create_components, create_store
from medlarspring_daemon.garbage_collection import configure_garbage_collection
from medlarspring_daemon.node import create_node
from medlarspring_daemon.process_end import end_process
from medlarspring_daemon.settings import read_settings
from medlarspring_tables import EntryVMId, MedlarspringError

if TYPE_CHECKING:
    from collections.abc import Sequence

    from medlarspring_adapters.metrics import Metrics
    from medlarspring_daemon.node import Component, Node
    from medlarspring_daemon.settings import Settings

EXIT_SETTINGS = 2
EXIT_PORT = 3
SHUTDOWN_MARGIN_SECONDS = 10.0


class PortUnavailable(MedlarspringError):
    """A port named in the settings can't be opened."""

    code = "port-unavailable"

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason

    def message(self) -> str:
        """Return the reason and the remedy."""
        return (
            f"A port can't be opened ({self.reason}). End the process that uses it, or"
            " change the listen key of the settings."
        )


class DaemonService(aiomisc.Service):
    """Starts the components in order and stops them in reverse order."""

    def __init__(self, node: Node, components: Sequence[Component]) -> None:
        super().__init__()
        self._node = node
        self._components = components
        self._started: list[Component] = []

    async def start(self) -> None:
        """Start every component, then log the addresses of the open ports."""
        for component in self._components:
            try:
                await component.start()
            except OSError as error:
                raise PortUnavailable(error.strerror or str(error)) from error
            self._started.append(component)
        self._node.log.info(Event.LISTENING, **self._node.addresses)

    async def stop(self, exception: Exception | None = None) -> None:
        """Fail the readiness check immediately, then stop each component."""
        self._node.stopping = True
        self._node.log.info(Event.STOPPING)
        while self._started:
            await self._started.pop().stop()
        self._node.log.info(Event.STOPPED)


def _create_metrics(settings: Settings) -> Metrics:
    if settings.statsd is None:
        return NoMetrics()
    host, _, port = settings.statsd.address.rpartition(":")
    return StatsdMetrics(host, int(port))


def _run(settings: Settings) -> NoReturn:
    clock = SystemClock()
    log = create_event_log(EntryVMId(settings.entry_vm.id), settings.log.level)
    node = create_node(
        settings,
        clock,
        random.Random(),
        log,
        _create_metrics(settings),
        create_store(settings, clock),
    )
    service = DaemonService(node, create_components(node))
    shutdown = settings.caller.drain_seconds + SHUTDOWN_MARGIN_SECONDS
    with aiomisc.entrypoint(
        service,
        log_config=False,
        pool_size=2,
        loop_factory=uvloop.new_event_loop,
        shutdown_timeout=shutdown,
    ) as loop:
        configure_garbage_collection()
        loop.run_forever()
    end_process(0)


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the daemon; return an exit status if it did not run or failed.

    A normal end ends the process.
    """
    parser = argparse.ArgumentParser(prog="medlarspringd", description=__doc__)
    parser.add_argument("settings", type=Path, help="settings file in TOML")
    parser.add_argument(
        "--check", action="store_true", help="check the settings and exit"
    )
    options = parser.parse_args(arguments)
    settings = read_settings(options.settings)
    if not is_successful(settings):
        print(settings.failure().message(), file=sys.stderr)
        return EXIT_SETTINGS
    if options.check:
        print(f"{options.settings}: the settings are complete and valid")
        return 0
    try:
        _run(settings.unwrap())
    except MedlarspringError as error:
        print(f"{options.settings}: {error.message()}", file=sys.stderr)
        return EXIT_PORT


if __name__ == "__main__":
    sys.exit(main())
