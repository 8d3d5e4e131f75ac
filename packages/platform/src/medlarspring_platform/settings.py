"""The settings file that the platform writes for each process."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from returns.result import Failure, Result, Success

from medlarspring_tables import MedlarspringError
from medlarspring_tables.scheduling import FleetLimits

if TYPE_CHECKING:
    from pathlib import Path


class SettingsUnreadable(MedlarspringError):
    """The settings file is incomplete or can't be read."""

    code = "settings-unreadable"

    def __init__(self, path: str, detail: str) -> None:
        super().__init__(path, detail)
        self.path = path
        self.detail = detail

    def message(self) -> str:
        """Return what is missing and what to do."""
        return (
            f"The settings file {self.path} can't be used: {self.detail}."
            " Let the platform write it again, or point MEDLARSPRING_CONFIG at it."
        )


@dataclass(frozen=True, slots=True)
class PlatformSettings:
    """Settings of one process: its identity, addresses and limits."""

    node: str
    zone: str
    region: str
    frontend: str
    """Address for callers, ``IP:PORT``."""
    readiness: str
    inner_host: str
    inner_port: int
    """First port reserved for calls between entry VMs."""
    store_address: str
    vm_control_address: str
    adviser_address: str
    """Empty where no queue needs advice."""
    memory_mb: int
    cores: float
    """Processors this process may use on average."""
    limits: FleetLimits


_LIMITS_BY_FIELD = {
    "config_apply": ("configApplyMs", 0.001),
    "vm_lease": ("leaseMs", 0.001),
    "grace": ("graceS", 1.0),
    "drain": ("drainMs", 0.001),
    "worker_lease": ("holdMaxMs", 0.001),
    "stop": ("stopTimeoutMs", 0.001),
    "cancel": ("cancel_ms", 0.001),
    "visible": ("visible_ms", 0.001),
    "status": ("status_s", 1.0),
    "gang": ("gangTimeoutMs", 0.001),
    "notice": ("noticeMs", 0.001),
    "impact": ("impactMs", 0.001),
    "move": ("migrateS", 1.0),
    "maintenance": ("maintenanceS", 1.0),
    "remote_factor": ("remoteFactor", 1.0),
}
"""``FleetLimits`` field: the platform's name under ``bounds``, its unit in seconds."""


def read_settings(path: Path) -> Result[PlatformSettings, SettingsUnreadable]:
    """Read and check the settings file."""
    try:
        text = path.read_text(encoding="utf-8")
    except OSError as error:
        detail = error.strerror or "it can't be opened"
        return Failure(SettingsUnreadable(str(path), detail))
    return parse_settings(str(path), text)


def parse_settings(
    path: str, text: str
) -> Result[PlatformSettings, SettingsUnreadable]:
    """Read settings from lines of the form ``a.b=value``; unknown ones are ignored."""
    values = _split_lines(text)
    try:
        return Success(_build_settings(values))
    except KeyError as error:
        detail = f"the line {error.args[0]}=... is missing"
    except ValueError as error:
        detail = f"a value has the wrong form ({error})"
    return Failure(SettingsUnreadable(path, detail))


def _split_lines(text: str) -> dict[str, str]:
    values: dict[str, str] = {}
    for line in text.splitlines():
        name, separator, value = line.strip().partition("=")
        if separator and not name.startswith("#"):
            values[name.strip()] = value.strip()
    return values


def _build_settings(values: dict[str, str]) -> PlatformSettings:
    cpu_share = float(values.get("limits.cpuShare", "1"))
    speed = float(values.get("limits.cores", "1"))
    return PlatformSettings(
        node=values["node"],
        zone=values["zone"],
        region=values.get("region", ""),
        frontend=values["listen.frontend"],
        readiness=values["listen.readiness"],
        inner_host=values["ip"],
        inner_port=int(values["portRange"].partition(",")[0]),
        store_address=values["platform.address"],
        vm_control_address=values.get("cloud.address", ""),
        adviser_address=values.get("hint", ""),
        memory_mb=int(values.get("limits.memoryMb", "300")),
        # The platform's "cores" is the speed of the single core as a multiple.
        cores=cpu_share * speed,
        limits=_build_limits(values),
    )


def _build_limits(values: dict[str, str]) -> FleetLimits:
    limit_values: dict[str, float] = {}
    for field, (name, unit) in _LIMITS_BY_FIELD.items():
        value = values.get(f"bounds.{name}")
        if value:
            limit_values[field] = float(value) * unit
    return FleetLimits(**limit_values)


__all__ = [
    "PlatformSettings",
    "SettingsUnreadable",
    "parse_settings",
    "read_settings",
]
