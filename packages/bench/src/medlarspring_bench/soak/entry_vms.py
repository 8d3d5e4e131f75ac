"""Entry VMs of a soak: processes that are started, signalled and replaced."""

from __future__ import annotations

import asyncio
import subprocess
import sys
from dataclasses import dataclass
from typing import TYPE_CHECKING

from medlarspring_adapters.events import Event
from medlarspring_bench.processes import Processes, ProcessFailed

if TYPE_CHECKING:
    from pathlib import Path

    from medlarspring_bench.processes import Process
    from medlarspring_bench.soak.installation import Installation
    from medlarspring_tables import Seconds

SETTINGS = """\
node={name}
role=entry
zone=zone-a
region=region-a
ip=127.0.0.1
portRange=0,0
listen.frontend=127.0.0.1:0
listen.readiness=127.0.0.1:0
platform.address={store}
cloud.address={vm_control}
limits.memoryMb=300
limits.cpuShare=1
limits.cores=1
bounds.leaseMs=3000
bounds.graceS=6
bounds.migrateS=1.5
bounds.maintenanceS=2
"""
"""Settings file in the platform's format; with port 0 the kernel chooses a port."""
GRACE_SECONDS = 6.0
"""Time between the signal to stop and the kill."""


class EntryVM:
    """One entry VM with its process."""

    def __init__(self, name: str, process: Process) -> None:
        self.name = name
        self.process = process
        self.stopping_since: Seconds | None = None
        """Time of the signal to stop; None if none was sent."""


@dataclass(frozen=True, slots=True)
class OverdueStop:
    """A process that did not end within ``GRACE_SECONDS`` and was killed."""

    node: str
    stop_requested_at: Seconds
    killed_at: Seconds


class EntryVMs:
    """All entry VMs of a soak."""

    def __init__(self, installation: Installation, folder: Path) -> None:
        self._installation = installation
        self._folder = folder
        self._processes = Processes()
        self._starts = 0
        self.logs: list[tuple[str, Process]] = []
        """Names of VMs and all processes that were started for them."""
        self.overdue_stops: list[OverdueStop] = []
        """Entry VMs that were killed because they did not stop in time."""

    async def start(self, name: str) -> None:
        """Start the process of an entry VM unless it runs."""
        if name in self._installation.nodes_by_name:
            return
        self._starts += 1
        links = self._installation.links_by_node[name]
        settings = self._folder / f"{name}.conf"
        settings.write_text(
            SETTINGS.format(
                name=name,
                store=links.store.address,
                vm_control=links.vm_control.address,
            ),
            encoding="utf-8",
        )
        # In a thread: on a busy machine a fork blocks the proxies for 0.25 s, and
        # calls that are refused in that time would be counted as cut.
        process = await asyncio.to_thread(
            self._processes.start,
            f"{name}-{self._starts}",
            [sys.executable, "-m", "medlarspring_platform.launcher"],
            {"MEDLARSPRING_CONFIG": str(settings)},
        )
        entry_vm = EntryVM(name, process)
        self.logs.append((name, process))
        self._installation.nodes_by_name[name] = entry_vm
        try:
            listening = await asyncio.to_thread(process.wait_until_listening)
        except ProcessFailed:
            if process.status is None:
                raise
            # Another fault ended the process during its start; that fault also
            # starts the replacement.
            return
        links.customers.target = str(listening["caller"])

    async def kill(self, name: str) -> None:
        """Kill a process."""
        entry_vm = self._installation.nodes_by_name.pop(name, None)
        if entry_vm is not None:
            await asyncio.to_thread(entry_vm.process.kill)

    async def terminate(self, name: str) -> None:
        """Stop a process as the platform does: a signal, then a kill.

        Customers keep using its connections until it has ended.
        """
        entry_vm = self._installation.nodes_by_name.get(name)
        if entry_vm is None or entry_vm.stopping_since is not None:
            return
        entry_vm.stopping_since = self._installation.clock.now()
        entry_vm.process.terminate()
        try:
            await asyncio.to_thread(entry_vm.process.wait, GRACE_SECONDS)
        except subprocess.TimeoutExpired:
            killed_at = self._installation.clock.now()
            self.overdue_stops.append(
                OverdueStop(name, entry_vm.stopping_since, killed_at)
            )
        await asyncio.to_thread(entry_vm.process.kill)
        if self._installation.nodes_by_name.get(name) is entry_vm:
            del self._installation.nodes_by_name[name]

    def pause(self, name: str) -> EntryVM | None:
        """Pause a process; returns None if it does not run."""
        entry_vm = self._installation.nodes_by_name.get(name)
        if entry_vm is None or entry_vm.process.status is not None:
            return None
        entry_vm.process.pause()
        return entry_vm

    def resume(self, entry_vm: EntryVM) -> None:
        """Resume a paused process unless it has ended."""
        if entry_vm.process.status is None:
            entry_vm.process.resume()

    def find_controller(self) -> str | None:
        """Return the entry VM that logged the latest acquisition of the cell."""
        latest: tuple[float, str] | None = None
        for name, entry_vm in self._installation.nodes_by_name.items():
            for record in entry_vm.process.records(Event.CELL_HELD.number):
                held = (float(record["fence"]), name)
                latest = held if latest is None or held > latest else latest
        return latest[1] if latest else None

    def close(self) -> None:
        """Kill all processes that still run."""
        self._processes.close()


__all__ = ["EntryVM", "EntryVMs"]
