"""Validates the configuration table: each row alone, and the rows together."""

from __future__ import annotations

import math
import re
from typing import TYPE_CHECKING

from medlarspring_systems.table_errors import RowFault
from medlarspring_tables import (
    ConfigRow,
    ConfigTable,
    FleetRow,
    PartnerRow,
    PoolRow,
    RowKind,
    ServiceRow,
)

if TYPE_CHECKING:
    from collections.abc import Iterator

MAX_TABLE_BYTES = 1_048_576
MAX_TIMEOUT_MS = 600_000
MAX_SERVICE_BODY_BYTES = 67_108_864
MAX_SPARE_PERCENT = 90.0

_ID = re.compile(r"[a-z0-9][a-z0-9.-]{0,62}")
_SHA256 = re.compile(r"[0-9a-f]{64}")


def check_row(row: ConfigRow) -> list[RowFault]:
    """Return the faults of a row, regardless of the other rows."""
    match row:
        case PartnerRow():
            return list(_check_partner(row))
        case ServiceRow():
            return list(_check_service(row))
        case PoolRow():
            return list(_check_pool(row))
        case FleetRow():
            return list(_check_fleet(row))


def check_table(table: ConfigTable) -> list[RowFault]:
    """Return the faults between the rows of a table."""
    return [*_check_pools_exist(table), *_check_credentials_differ(table)]


def _check_partner(row: PartnerRow) -> Iterator[RowFault]:
    kind = RowKind.PARTNER
    yield from _check_id(kind, row.id)
    if not (math.isfinite(row.weight) and row.weight > 0):
        yield RowFault(kind, row.id, "weight", str(row.weight), "a number above 0")
    if not 0 < row.limit_percent <= 100:
        yield RowFault(
            kind,
            row.id,
            "limit_percent",
            str(row.limit_percent),
            "above 0 and at most 100",
        )
    if row.credential_sha256 and not _SHA256.fullmatch(row.credential_sha256):
        yield RowFault(
            kind,
            row.id,
            "credential_sha256",
            repr(row.credential_sha256),
            "64 lower-case hex digits, or nothing to lock the partner out",
        )
    for name in ("quota_cpus", "quota_memory_gb", "quota_accelerators"):
        quota = getattr(row, name)
        if not (math.isfinite(quota) and quota >= 0):
            yield RowFault(kind, row.id, name, str(quota), "0 or more")


def _check_service(row: ServiceRow) -> Iterator[RowFault]:
    kind = RowKind.SERVICE
    yield from _check_id(kind, row.id)
    yield from _check_range(kind, row.id, "timeout_ms", row.timeout_ms, MAX_TIMEOUT_MS)
    yield from _check_range(
        kind, row.id, "max_body_bytes", row.max_body_bytes, MAX_SERVICE_BODY_BYTES
    )


def _check_pool(row: PoolRow) -> Iterator[RowFault]:
    kind = RowKind.POOL
    yield from _check_id(kind, row.id)
    if row.wanted_vms < 0:
        yield RowFault(kind, row.id, "wanted_vms", str(row.wanted_vms), "0 or more")
    if not 0 <= row.min_available <= row.wanted_vms:
        yield RowFault(
            kind,
            row.id,
            "min_available",
            str(row.min_available),
            f"0 or more, and at most wanted_vms ({row.wanted_vms})",
        )


def _check_fleet(row: FleetRow) -> Iterator[RowFault]:
    kind = RowKind.FLEET
    if not 0 <= row.spare_percent <= MAX_SPARE_PERCENT:
        yield RowFault(
            kind,
            row.id,
            "spare_percent",
            str(row.spare_percent),
            f"0 to {MAX_SPARE_PERCENT:g}",
        )
    if not 0 <= row.retry_percent <= 100:
        yield RowFault(
            kind, row.id, "retry_percent", str(row.retry_percent), "0 to 100"
        )
    if row.max_drains_per_zone < 0:
        yield RowFault(
            kind,
            row.id,
            "max_drains_per_zone",
            str(row.max_drains_per_zone),
            "0 or more",
        )


def _check_id(kind: RowKind, row_id: str) -> Iterator[RowFault]:
    if not _ID.fullmatch(row_id):
        wanted = "at most 63 lower-case letters, digits, dots and hyphens"
        yield RowFault(kind, row_id, "id", repr(row_id), wanted)


def _check_range(
    kind: RowKind, row_id: str, field: str, value: int, largest: int
) -> Iterator[RowFault]:
    if not 1 <= value <= largest:
        yield RowFault(kind, row_id, field, str(value), f"1 to {largest}")


def _check_pools_exist(table: ConfigTable) -> Iterator[RowFault]:
    for service in table.services_by_id.values():
        if service.pool_id not in table.pools_by_id:
            yield RowFault(
                RowKind.SERVICE,
                service.id,
                "pool_id",
                repr(service.pool_id),
                "a pool of the table; add the pool first, or move the service off it",
            )


def _check_credentials_differ(table: ConfigTable) -> Iterator[RowFault]:
    # The daemon could not distinguish two partners with one credential, and would
    # charge the use of either to an arbitrary one.
    owners_by_credential: dict[str, str] = {}
    for partner in table.partners_by_id.values():
        if not partner.credential_sha256:
            continue
        owner = owners_by_credential.setdefault(partner.credential_sha256, partner.id)
        if owner != partner.id:
            yield RowFault(
                RowKind.PARTNER,
                partner.id,
                "credential_sha256",
                f"the credential of partner {owner}",
                "a credential of its own",
            )


__all__ = ["MAX_TABLE_BYTES", "check_row", "check_table"]
