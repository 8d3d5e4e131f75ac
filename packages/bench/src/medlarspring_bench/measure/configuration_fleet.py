"""Daemons over zones with stand-ins of the store, the VM list and the network."""

from __future__ import annotations

import time
import tomllib
import urllib.request
from dataclasses import dataclass, field
from datetime import datetime
from typing import TYPE_CHECKING, Any

import msgspec
from returns.result import Success

from medlarspring_adapters.etcd_gateway import create_etcd_gateway_store
from medlarspring_adapters.store import Expect, Put, Transaction
from medlarspring_bench.processes import Process, Processes
from medlarspring_tables import ConfigTable, PoolId, PoolRow, Revision

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping
    from pathlib import Path

CONFIG_KEY = "config/table"
TABLE_IN_FORCE = 3001
POOL_HELD = 4020
POLL_SECONDS = 0.02
STORE_TIMEOUT_SECONDS = 1.0
SETTINGS = """
[entry_vm]
id = "{id}"
zone = "{zone}"
region = "region-1"
[caller]
listen = "127.0.0.1:0"
[operator]
listen = "127.0.0.1:0"
token_file = "{token_file}"
[peer]
listen = "{peer_listen}"
token_file = "{token_file}"
[store]
endpoints = ["{store}"]
timeout_seconds = {store_timeout}
[vm_list]
url = "http://{vm_list}/targets"
poll_seconds = {poll_seconds}
"""


@dataclass(slots=True)
class FleetPlan:
    """How many daemons run, and where."""

    daemons: int = 4
    zones: int = 2
    poll_seconds: float = 0.5
    list_lag_seconds: float = 0.0
    via_links: bool = False
    """Whether calls between zones lead over links that can be cut."""


@dataclass(slots=True)
class Fleet:
    """A running fleet; ``close`` ends it."""

    plan: FleetPlan
    folder: Path
    processes: Processes = field(default_factory=Processes)
    daemons_by_id: dict[str, Process] = field(default_factory=dict)
    zones_by_id: dict[str, str] = field(default_factory=dict)
    addresses_by_id: dict[str, dict[str, str]] = field(default_factory=dict)
    standins: dict[str, dict[str, Any]] = field(default_factory=dict)
    table: ConfigTable = field(default_factory=ConfigTable)
    mod_revision: Revision = Revision(0)

    @property
    def zone_names(self) -> list[str]:
        """Names of the availability zones."""
        return [f"zone-{number}" for number in range(1, self.plan.zones + 1)]

    def start_platform(self) -> None:
        """Start the stand-ins, one gate a zone."""
        gates = ",".join(["operators", *self.zone_names])
        self._start_standin("key_value", "--gates", gates)
        lag = str(self.plan.list_lag_seconds)
        self._start_standin("vm_list", "--gates", gates, "--lag-seconds", lag)
        if self.plan.via_links:
            self._start_standin("links")

    def start_daemons(self) -> None:
        """Start all daemons, list them, and wait for their ports."""
        ids = [f"entry-{number:02d}" for number in range(1, self.plan.daemons + 1)]
        for number, entry_vm_id in enumerate(ids):
            zone = self.zone_names[number % self.plan.zones]
            self.start_daemon(entry_vm_id, zone)
        for entry_vm_id in ids:
            self.wait_listening(entry_vm_id)
        self.list_daemons()

    def start_daemon(
        self, entry_vm_id: str, zone: str, peer_listen: str = "127.0.0.1:0"
    ) -> Process:
        """Start one daemon; its ports are open after ``wait_listening``."""
        token_file = self.folder / "token"
        token_file.write_text("measure-token\n")
        path = self.folder / f"{entry_vm_id}.toml"
        path.write_text(
            SETTINGS.format(
                id=entry_vm_id,
                zone=zone,
                token_file=token_file,
                peer_listen=peer_listen,
                store=self.standins["key_value"]["gates"][zone],
                store_timeout=STORE_TIMEOUT_SECONDS,
                vm_list=self.standins["vm_list"]["gates"][zone],
                poll_seconds=self.plan.poll_seconds,
            )
        )
        assert tomllib.loads(path.read_text())
        process = self.processes.start_daemon(entry_vm_id, path)
        self.daemons_by_id[entry_vm_id] = process
        self.zones_by_id[entry_vm_id] = zone
        return process

    def wait_listening(self, entry_vm_id: str) -> None:
        """Wait for one daemon's ports and remember them."""
        record = self.daemons_by_id[entry_vm_id].wait_until_listening()
        self.addresses_by_id[entry_vm_id] = {
            name: record[name] for name in ("peer", "caller") if name in record
        }

    def list_daemons(self) -> None:
        """Show all daemons on the VM list, across zones by links if planned."""
        entries = [
            {
                "targets": [self.addresses_by_id[entry_vm_id]["peer"]],
                "labels": {
                    "id": entry_vm_id,
                    "role": "entry",
                    "state": "live",
                    "zone": zone,
                    "region": "region-1",
                },
            }
            for entry_vm_id, zone in self.zones_by_id.items()
        ]
        if self.plan.via_links:
            self._open_links()
        self.send("vm_list", "PUT", "/control/vms", entries)

    def send(self, standin: str, method: str, path: str, body: object = None) -> Any:
        """Call the control port of a stand-in."""
        url = f"http://{self.standins[standin]['control']}{path}"
        content = None if body is None else msgspec.json.encode(body)
        request = urllib.request.Request(url, data=content, method=method)
        with urllib.request.urlopen(request, timeout=10) as reply:
            return msgspec.json.decode(reply.read() or b"null")

    def change_store(self, **faults: object) -> None:
        """Switch faults of the store; ``gate`` names one zone's way to it."""
        self.send("key_value", "POST", "/control/faults", faults)

    def cut(self, from_zone: str, to_zone: str, *, down: bool) -> None:
        """Cut calls that one zone makes to another, or let them through."""
        group = f"{from_zone}|{to_zone}"
        self.send("links", "POST", "/control/faults", {"gate": group, "down": down})

    async def edit(self, change: Callable[[ConfigTable], ConfigTable]) -> float:
        """Accept an edit as an editor does; returns the wall time of acceptance."""
        store = create_etcd_gateway_store(
            [self.standins["key_value"]["gates"]["operators"]], 5.0
        )
        table = change(self.table)
        table = msgspec.structs.replace(
            table, revision=Revision(self.table.revision + 1)
        )
        expect = Expect(CONFIG_KEY, self.mod_revision)
        put = Put(CONFIG_KEY, msgspec.json.encode(table))
        answer = await store.commit(Transaction((expect,), (put,)))
        accepted_at = time.time()
        await store.close()
        assert isinstance(answer, Success)
        assert answer.unwrap().succeeded
        self.table = table
        self.mod_revision = answer.unwrap().revision
        return accepted_at

    def wait_in_force(
        self, revision: int, seconds: float = 30.0, ids: list[str] | None = None
    ) -> dict[str, float]:
        """Wait until daemons have a revision or a newer one in force.

        Returns the wall time by daemon.
        """
        wanted = ids or list(self.daemons_by_id)
        return {
            entry_vm_id: read_time(
                self.daemons_by_id[entry_vm_id].wait_for_record(
                    lambda record: (
                        record.get("event") == TABLE_IN_FORCE
                        and record["revision"] >= revision
                    ),
                    seconds,
                )
            )
            for entry_vm_id in wanted
        }

    def find_holders(self) -> dict[str, str]:
        """Return the daemon that wrote each holder key last, by pool."""
        found: dict[str, tuple[float, str]] = {}
        for entry_vm_id, process in self.daemons_by_id.items():
            for record in process.records(POOL_HELD):
                at = read_time(record)
                if at >= found.get(record["pool"], (0.0, ""))[0]:
                    found[record["pool"]] = (at, entry_vm_id)
        return {pool: entry_vm_id for pool, (_, entry_vm_id) in found.items()}

    def close(self) -> None:
        """End all processes of this fleet."""
        self.processes.close()

    def _start_standin(self, name: str, *arguments: str) -> None:
        process = self.processes.start_module(
            name,
            f"medlarspring_bench.standins.{name}",
            "--listen",
            "127.0.0.1:0",
            *arguments,
        )
        self.standins[name] = process.wait_for_announcement()

    def _open_links(self) -> None:
        for zone in self.zone_names:
            targets_by_id = {}
            links = []
            for entry_vm_id, other in self.zones_by_id.items():
                if other == zone:
                    continue
                links.append(
                    {
                        "name": f"{zone}|{entry_vm_id}",
                        "target": self.addresses_by_id[entry_vm_id]["peer"],
                        "group": f"{zone}|{other}",
                    }
                )
            addresses = self.send("links", "POST", "/control/links", links)
            for name, address in addresses.items():
                targets_by_id[name.partition("|")[2]] = address
            body = {"gate": zone, "targets_by_id": targets_by_id}
            self.send("vm_list", "POST", "/control/targets", body)


def read_time(record: Mapping[str, Any]) -> float:
    """Return the wall time of a log line in seconds since the epoch."""
    return datetime.fromisoformat(record["timestamp"]).timestamp()


def add_pools(table: ConfigTable, count: int) -> ConfigTable:
    """Return the table with so many pools more."""
    pools_by_id = dict(table.pools_by_id)
    for number in range(len(pools_by_id) + 1, len(pools_by_id) + count + 1):
        pool_id = PoolId(f"pool-{number:02d}")
        pools_by_id[pool_id] = PoolRow(id=pool_id, wanted_vms=8, min_available=6)
    return msgspec.structs.replace(table, pools_by_id=pools_by_id)


def start_fleet(plan: FleetPlan, folder: Path) -> Fleet:
    """Return a running fleet; the caller closes it."""
    fleet = Fleet(plan, folder)
    try:
        fleet.start_platform()
        fleet.start_daemons()
    except BaseException:
        fleet.close()
        raise
    return fleet


__all__ = ["Fleet", "FleetPlan", "add_pools", "read_time", "start_fleet"]
