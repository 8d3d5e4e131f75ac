"""Reads an example deployment: platform, credentials, workload and table."""

from __future__ import annotations

from pathlib import Path
from string import Template
from typing import TYPE_CHECKING

import msgspec
from msgspec import Struct, field

if TYPE_CHECKING:
    from collections.abc import Iterator

EXAMPLES = Path(__file__).resolve().parents[4] / "examples"


class VMSize(Struct, frozen=True):
    """Size of every upstream VM."""

    slots: int
    connections: int
    cpus: float
    memory_gb: float
    accelerators: int


class Rack(Struct, frozen=True):
    """A rack of upstream VMs of one pool."""

    id: str
    zone: str
    pool: str
    vms: int

    def vm_ids(self) -> list[str]:
        """Return the ids of the rack's VMs."""
        return [f"{self.id}-vm-{number + 1}" for number in range(self.vms)]


class RequestKind(Struct, frozen=True):
    """One kind of request of the mixed batch."""

    kind: str
    service: str
    method: str
    path: str
    share: float
    work_ms: float
    urgency: int = 3
    keyed: bool = False
    """Sent with an ``Idempotency-Key``."""


class Events(Struct, frozen=True):
    """Operator commands that the demo runs during the load."""

    drain_rack: str
    edit_row: tuple[str, str, str]
    """Kind, id and the new field value."""


class Platform(Struct, frozen=True):
    """Contents of the file ``platform.toml``."""

    name: str
    region: str
    zones: list[str]
    entry_vms_per_zone: int
    vm: VMSize
    racks: list[Rack]
    credentials: dict[str, str]
    events: Events
    requests: list[RequestKind] = field(default_factory=list)

    def entry_vms(self) -> Iterator[tuple[str, str]]:
        """Yield id and zone of each entry VM."""
        for zone in self.zones:
            for number in range(self.entry_vms_per_zone):
                yield f"{zone}-entry-{number + 1}", zone


class Example(Struct, frozen=True):
    """Contents of an example's directory, read and validated."""

    directory: Path
    platform: Platform
    settings: str
    """Settings of an entry VM with ``$names`` to fill in."""

    @property
    def table(self) -> Path:
        """The operators' table as CSV."""
        return self.directory / "table.csv"

    def fill_settings(self, **values: str) -> str:
        """Return the settings of one entry VM; raise if a name has no value."""
        return Template(self.settings).substitute(values)


def read_example(name: str) -> Example:
    """Read ``examples/<name>``."""
    return read_example_directory(EXAMPLES / name)


def read_example_directory(directory: Path) -> Example:
    """Read a directory laid out like an example."""
    platform = msgspec.toml.decode(
        (directory / "platform.toml").read_bytes(), type=Platform
    )
    settings = (directory / "entry-vm.toml").read_text(encoding="utf-8")
    return Example(directory, platform, settings)


__all__ = [
    "Example",
    "Platform",
    "Rack",
    "RequestKind",
    "VMSize",
    "read_example",
    "read_example_directory",
]
