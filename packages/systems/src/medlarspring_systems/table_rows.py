"""Reads and replaces rows of the configuration table by kind and id."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, get_type_hints

import msgspec

from medlarspring_tables import (
    ROW_TYPES_BY_KIND,
    ConfigRow,
    ConfigTable,
    RowKind,
)

if TYPE_CHECKING:
    from collections.abc import Mapping

    from medlarspring_tables.audit import FieldValue

RowsByKind = dict[RowKind, dict[str, ConfigRow]]

FLEET_ROW_ID = "fleet"
READ_ONLY_FIELDS = frozenset({"id", "revision"})
"""Fields that no edit sets: the row's id, and the revision that the daemon sets."""

FIELD_TYPES_BY_KIND: dict[RowKind, dict[str, Any]] = {
    kind: {
        name: hint
        for name, hint in get_type_hints(row_type, include_extras=True).items()
        if name in row_type.__struct_fields__ and name not in READ_ONLY_FIELDS
    }
    for kind, row_type in ROW_TYPES_BY_KIND.items()
}
"""The editable fields of each kind, in the order of the row type."""


def split_rows(table: ConfigTable) -> RowsByKind:
    """Return the table's rows by kind and id, in new dictionaries."""
    return {
        RowKind.PARTNER: {row.id: row for row in table.partners_by_id.values()},
        RowKind.SERVICE: {row.id: row for row in table.services_by_id.values()},
        RowKind.POOL: {row.id: row for row in table.pools_by_id.values()},
        RowKind.FLEET: {FLEET_ROW_ID: table.fleet},
    }


def join_rows(table: ConfigTable, rows: RowsByKind) -> ConfigTable:
    """Return a copy of the table with its rows replaced."""
    fleet = rows[RowKind.FLEET][FLEET_ROW_ID]
    return msgspec.structs.replace(
        table,
        partners_by_id=rows[RowKind.PARTNER],
        services_by_id=rows[RowKind.SERVICE],
        pools_by_id=rows[RowKind.POOL],
        fleet=fleet,
    )


def required_fields(kind: RowKind) -> list[str]:
    """Return the editable fields that have no default."""
    return [
        field.name
        for field in msgspec.structs.fields(ROW_TYPES_BY_KIND[kind])
        if field.required and field.name not in READ_ONLY_FIELDS
    ]


def describe_row(row: ConfigRow | None) -> dict[str, FieldValue] | None:
    """Return a row's fields as JSON-compatible values."""
    return None if row is None else msgspec.to_builtins(row)


def same_content(left: ConfigRow, right: ConfigRow) -> bool:
    """Return whether two rows are equal except for their revision."""
    fields: Mapping[str, Any] = FIELD_TYPES_BY_KIND[kind_of(left)]
    return all(getattr(left, name) == getattr(right, name) for name in fields)


def kind_of(row: ConfigRow) -> RowKind:
    """Return the kind of a row."""
    for kind, row_type in ROW_TYPES_BY_KIND.items():
        if isinstance(row, row_type):
            return kind
    raise TypeError(type(row).__name__)


__all__ = [
    "FIELD_TYPES_BY_KIND",
    "FLEET_ROW_ID",
    "READ_ONLY_FIELDS",
    "RowsByKind",
    "describe_row",
    "join_rows",
    "kind_of",
    "required_fields",
    "same_content",
    "split_rows",
]
