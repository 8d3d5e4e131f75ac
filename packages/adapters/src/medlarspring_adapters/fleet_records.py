"""Encodes fleet records as JSON and applies store entries to the fleet tables."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from medlarspring_adapters.entry_attempts import EntryAttempts
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
    """Decode an entry into the tables; keys of other kinds are ignored."""
    kind = entry.key.removeprefix(FLEET_PREFIX).partition("/")[0]
    record_type = TYPES_BY_PREFIX.get(f"{FLEET_PREFIX}{kind}/")
    if record_type is not None:
        record = msgspec.json.decode(entry.value, type=record_type)
        tables.put(record, entry.mod_revision)


def apply_listing(tables: FleetTables, prefix: str, listing: Listing) -> None:
    """Replace all records under a prefix with those of a listing.

    A watch may have delivered newer records than the listing has. They must not be
    removed, since no watch delivers them again; removal is therefore conditional on
    the listing's revision. Raises ``EntriesNotApplied`` after all others are applied.
    """
    attempts = EntryAttempts()
    present = {entry.key for entry in listing.entries}
    for key in list(tables.revisions_by_key):
        if key.startswith(prefix) and key not in present:
            attempts.run(key, tables.remove, key, listing.revision)
    for entry in listing.entries:
        attempts.run(entry.key, apply_entry, tables, entry)
    attempts.raise_failed()


__all__ = ["TYPES_BY_PREFIX", "encode_record", "apply_entry", "apply_listing"]
