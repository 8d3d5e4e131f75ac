"""Runs daemons in several zones with stand-ins of store, VM list and network."""

from __future__ import annotations

import asyncio
import time
import tomllib
from dataclasses import dataclass, field
from datetime import datetime
from hashlib import sha256
from typing import TYPE_CHECKING, Any

import msgspec
from returns.result import Success

from medlarspring_adapters.etcd_gateway import create_etcd_gateway_store
from medlarspring_adapters.store import Expect, Put, Transaction
from medlarspring_bench.control_client import control
from medlarspring_bench.processes import Process, Processes
from medlarspring_bench.waiting import wait_for
from medlarspring_tables import (
    ConfigTable,
    FleetRow,
    PartnerId,
    PartnerRow,
    PoolId,
    PoolRow,
    Revision,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping
    from pathlib import Path

CONFIG_KEY = "config/table"
TABLE_IN_FORCE = 3001
POOL_HELD = 4020
MEMBER_CHANGED = 4001
POOLS = 6
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
[statsd]
address = "{statsd}"
"""


@dataclass(slots=True)
class FleetPlan:
    """Size and layout of a fleet."""

    daemons: int = 4
    zones: int = 2
    poll_seconds: float = 0.5
    list_lag_seconds: float = 0.0
    upstream_vms: int = 0
    """Number of upstream VMs on the VM list; no process runs for them."""
    via_links: bool = False
    """Whether calls between zones pass through links that can be cut."""


@dataclass(slots=True)
class Fleet:
    """A fleet of daemon processes; ``close`` stops them."""

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

    @property
    def ids(self) -> list[str]:
        """Ids of the planned daemons."""
        return [f"entry-{number:02d}" for number in range(1, self.plan.daemons + 1)]

    def start_platform(self) -> None:
        """Start the stand-ins, with a separate store gate for each daemon."""
        clients = ",".join(["operators", *self.ids])
        self._start_standin("key_value", "--gates", clients)
        zones = ",".join(self.zone_names)
        lag = str(self.plan.list_lag_seconds)
        self._start_standin("vm_list", "--gates", zones, "--lag-seconds", lag)
        self._start_standin("statsd")
        if self.plan.via_links:
            self._start_standin("links")

    def start_daemons(self) -> None:
        """Start all daemons, wait for their ports and put them on the VM list."""
        for number, entry_vm_id in enumerate(self.ids):
            zone = self.zone_names[number % self.plan.zones]
            self.start_daemon(entry_vm_id, zone)
        for entry_vm_id in self.ids:
            self.wait_listening(entry_vm_id)
        self.list_daemons()

    def start_daemon(
        self, entry_vm_id: str, zone: str, peer_listen: str = "127.0.0.1:0"
    ) -> Process:
        """Start one daemon; its ports are open after ``wait_listening``."""
        token_file = self.folder / "token"
        if not token_file.exists():
            token_file.write_text("measure-token\n")
        path = self.folder / f"{entry_vm_id}.toml"
        path.write_text(
            SETTINGS.format(
                id=entry_vm_id,
                zone=zone,
                token_file=token_file,
                peer_listen=peer_listen,
                store=self.standins["key_value"]["gates"][entry_vm_id],
                store_timeout=STORE_TIMEOUT_SECONDS,
                vm_list=self.standins["vm_list"]["gates"][zone],
                poll_seconds=self.plan.poll_seconds,
                statsd=self.standins["statsd"]["address"],
            )
        )
        assert tomllib.loads(path.read_text())
        process = self.processes.start_daemon(entry_vm_id, path)
        self.daemons_by_id[entry_vm_id] = process
        self.zones_by_id[entry_vm_id] = zone
        return process

    def wait_listening(self, entry_vm_id: str) -> None:
        """Wait until a daemon listens and record its addresses."""
        record = self.daemons_by_id[entry_vm_id].wait_until_listening()
        self.addresses_by_id[entry_vm_id] = {
            name: record[name] for name in ("peer", "caller") if name in record
        }

    def list_daemons(self) -> None:
        """Put all daemons on the VM list, with links between zones if planned."""
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
        entries += [
            _describe_upstream(number, self.zone_names)
            for number in range(self.plan.upstream_vms)
        ]
        if self.plan.via_links:
            self._open_links()
        self.send("vm_list", "PUT", "vms", entries)

    def send(self, standin: str, method: str, path: str, body: object = None) -> Any:
        """Call the control port of a stand-in."""
        return control(method, self.standins[standin]["control"], path, body)

    def cut_store(self, ids: Iterable[str], *, down: bool) -> None:
        """Partition daemons from the store, or restore their access."""
        for entry_vm_id in ids:
            body = {"gate": entry_vm_id, "down": down}
            self.send("key_value", "POST", "faults", body)

    def list_zone(self, zone: str) -> list[str]:
        """Return the daemons of one availability zone."""
        return [each for each, other in self.zones_by_id.items() if other == zone]

    def cut(self, from_zone: str, to_zone: str, *, down: bool) -> None:
        """Block the calls from one zone to another, or restore them."""
        group = f"{from_zone}|{to_zone}"
        self.send("links", "POST", "faults", {"gate": group, "down": down})

    async def edit(self, change: Callable[[ConfigTable], ConfigTable]) -> float:
        """Commit an edit as an editor does and return the wall time of acceptance."""
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
        """Return the last daemon that became holder, by pool."""
        found: dict[str, tuple[float, str]] = {}
        for entry_vm_id, process in self.daemons_by_id.items():
            for record in process.records(POOL_HELD):
                at = read_time(record)
                if at >= found.get(record["pool"], (0.0, ""))[0]:
                    found[record["pool"]] = (at, entry_vm_id)
        return {pool: entry_vm_id for pool, (_, entry_vm_id) in found.items()}

    def close(self) -> None:
        """Stop all processes of this fleet."""
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
            addresses = self.send("links", "POST", "links", links)
            for name, address in addresses.items():
                targets_by_id[name.partition("|")[2]] = address
            body = {"gate": zone, "targets_by_id": targets_by_id}
            self.send("vm_list", "POST", "targets", body)


def _describe_upstream(number: int, zones: list[str]) -> dict[str, Any]:
    labels = {
        "id": f"vm-{number:04d}",
        "role": "upstream",
        "state": "live",
        "pool": f"pool-{number % 46 + 1:02d}",
        "rack": f"rack-{number // 4:03d}",
        "zone": zones[number % len(zones)],
        "region": "region-1",
        "slots": "8",
        "connections": "64",
        "cpus": "32",
        "memory_gb": "64",
        "accelerators": "1",
    }
    return {"targets": [f"127.0.0.1:{number % 60000 + 1}"], "labels": labels}


def read_time(record: Mapping[str, Any]) -> float:
    """Return the wall time of a log line in seconds since the epoch."""
    return datetime.fromisoformat(record["timestamp"]).timestamp()


def add_partners(table: ConfigTable, count: int) -> ConfigTable:
    """Return the table with ``count`` partners and their credentials."""
    rows = [
        PartnerRow(
            id=PartnerId(f"partner-{number:03d}"),
            weight=1.0 + number % 7,
            credential_sha256=sha256(b"%d" % number).hexdigest(),
            quota_cpus=64.0,
        )
        for number in range(count)
    ]
    return msgspec.structs.replace(table, partners_by_id={row.id: row for row in rows})


def add_pools(table: ConfigTable, count: int) -> ConfigTable:
    """Return the table with ``count`` additional pools."""
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


def touch(table: ConfigTable) -> ConfigTable:
    """Return the table with one value changed."""
    spare = 10.0 if table.fleet.spare_percent != 10.0 else 11.0
    return msgspec.structs.replace(table, fleet=FleetRow(spare_percent=spare))


def start_ready(plan: FleetPlan, folder: Path, partners: int = 5) -> Fleet:
    """Return a fleet with a table in force whose daemons all know each other."""
    fleet = start_fleet(plan, folder)
    try:
        asyncio.run(fleet.edit(lambda table: add_partners(table, partners)))
        asyncio.run(fleet.edit(lambda table: add_pools(table, POOLS)))
        fleet.wait_in_force(2)
        wait_for(lambda: _all_joined(fleet), "all daemons hear each other", 60.0)
    except BaseException:
        fleet.close()
        raise
    return fleet


def _all_joined(fleet: Fleet) -> bool:
    others = len(fleet.daemons_by_id) - 1
    return all(
        len({each["member"] for each in process.records(MEMBER_CHANGED)}) >= others
        for process in fleet.daemons_by_id.values()
    )


__all__ = [
    "Fleet",
    "FleetPlan",
    "POOL_HELD",
    "TABLE_IN_FORCE",
    "add_partners",
    "add_pools",
    "read_time",
    "start_fleet",
    "start_ready",
    "touch",
]
