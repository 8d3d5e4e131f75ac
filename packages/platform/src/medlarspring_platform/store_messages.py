"""Messages of the platform's metadata store, and their translation."""

from __future__ import annotations

import base64
from typing import TYPE_CHECKING

from msgspec import Struct

from medlarspring_adapters.store import (
    Entry,
    LeaseId,
    Put,
    Transaction,
    WatchBatch,
)
from medlarspring_tables import Revision
from medlarspring_tables.bounds import StoreNumber, Whole

if TYPE_CHECKING:
    from medlarspring_tables import Seconds


class WireItem(Struct, rename="camel"):
    """One key, or an event that wrote or deleted it."""

    key: str
    value: str = ""
    revision: StoreNumber = 0
    created: StoreNumber = 0
    lease: StoreNumber = 0
    removed: bool = False
    as_of: StoreNumber = 0


class WireItems(Struct, rename="camel"):
    """A page of keys."""

    items: list[WireItem] = []
    has_more: bool = False
    as_of: StoreNumber = 0


class WireEvents(Struct, rename="camel"):
    """Events that a watch call returns."""

    events: list[WireItem] = []
    as_of: StoreNumber = 0


class WireCondition(Struct):
    """The revision that a key must have; 0 if the key must not exist."""

    key: str
    revision: int


class WirePut(Struct, omit_defaults=True):
    """A key to write."""

    key: str
    value: str
    lease: int = 0


class WireTxn(Struct, rename="camel"):
    """A transaction: all writes are applied if all conditions hold, else none."""

    expected_rev: list[WireCondition]
    puts: list[WirePut]
    deletes: list[str]


class WireTxnAnswer(Struct, rename="camel"):
    """The new revision, or the items of the failed conditions."""

    revision: StoreNumber = 0
    items: list[WireItem] = []
    as_of: StoreNumber = 0


class WireLease(Struct, rename="camel"):
    """A lease and its time to live."""

    ttl_ms: Whole = 0
    lease: StoreNumber = 0


def to_txn(transaction: Transaction) -> WireTxn:
    """Return a transaction as the store takes it."""
    puts: list[WirePut] = []
    deletes: list[str] = []
    for write in transaction.writes:
        if isinstance(write, Put):
            value = base64.b64encode(write.value).decode("ascii")
            puts.append(WirePut(write.key, value, write.lease_id or 0))
        else:
            deletes.append(write.key)
    conditions = [
        WireCondition(expect.key, expect.mod_revision) for expect in transaction.expects
    ]
    return WireTxn(conditions, puts, deletes)


def _decode_value(item: WireItem) -> bytes:
    """Return an item's bytes; text that is not base64 is returned as it is, encoded.

    Otherwise one malformed item would end the listing or watch that contains it, and
    with it a takeover. As plain bytes it reaches the decoder of the record, which
    reports the key and skips it.
    """
    try:
        return base64.b64decode(item.value, validate=True)
    except ValueError:
        return item.value.encode(errors="replace")


def to_entry(item: WireItem) -> Entry:
    """Return an item as an entry."""
    return Entry(
        key=item.key,
        value=_decode_value(item),
        create_revision=Revision(item.created),
        mod_revision=Revision(item.revision),
        lease_id=LeaseId(item.lease) if item.lease else None,
    )


def to_batch(content: WireEvents, confirmed_at: Seconds | None) -> WatchBatch:
    """Return the newest event of each key."""
    newest: dict[str, WireItem] = {}
    for event in content.events:
        newest[event.key] = event
    changed = [to_entry(event) for event in newest.values() if not event.removed]
    deleted = [event.key for event in newest.values() if event.removed]
    revision = Revision(content.as_of)
    return WatchBatch(revision, tuple(changed), tuple(deleted), confirmed_at)


__all__ = [
    "WireEvents",
    "WireItem",
    "WireItems",
    "WireLease",
    "WireTxnAnswer",
    "to_batch",
    "to_entry",
    "to_txn",
]
