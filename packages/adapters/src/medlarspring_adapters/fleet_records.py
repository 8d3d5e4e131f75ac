"""Fleet records as JSON values of the store."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from medlarspring_tables.fleet_tables import FLEET_PREFIX
from medlarspring_tables.moves import MoveRecord
from medlarspring_tables.pools import PoolDisruptions, ZoneDisruptions
from medlarspring_tables.vms import VMRecord
from medlarspring_tables.waves import WaveRecord

if TYPE_CHECKING:
    from medlarspring_adapters.store import Entry, Listing
    from medlarspring_tables.fleet_tables import FleetRecord, FleetTables

TYPES_BY_PREFIX: dict[str, type[FleetRecord]] = {
    f"{FLEET_PREFIX}vms/": VMRecord,
    f"{FLEET_PREFIX}disruptions/": PoolDisruptions,
    f"{FLEET_PREFIX}zones/": ZoneDisruptions,
    f"{FLEET_PREFIX}waves/": WaveRecord,
    f"{FLEET_PREFIX}moves/": MoveRecord,
}


def encode_record(record: FleetRecord) -> bytes:
    """Return the value to store."""
    return msgspec.json.encode(record)


def apply_entry(tables: FleetTables, entry: Entry) -> None:
    """Decode an entry into the tables; other keys are passed over."""
    kind = entry.key.removeprefix(FLEET_PREFIX).partition("/")[0]
    record_type = TYPES_BY_PREFIX.get(f"{FLEET_PREFIX}{kind}/")
    if record_type is not None:
        record = msgspec.json.decode(entry.value, type=record_type)
        tables.put(record, entry.mod_revision)


def apply_listing(tables: FleetTables, prefix: str, listing: Listing) -> None:
    """Take all records under a prefix, and forget those that are gone.

    A watch may have brought newer records while the listing was on its way;
    those are not in it and must not be forgotten, for no watch brings them
    again.
    """
    present = {entry.key for entry in listing.entries}
    for key in list(tables.revisions_by_key):
        if key.startswith(prefix) and key not in present:
            tables.remove(key, listing.revision)
    for entry in listing.entries:
        apply_entry(tables, entry)


__all__ = ["TYPES_BY_PREFIX", "encode_record", "apply_entry", "apply_listing"]
