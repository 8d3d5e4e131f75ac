from __future__ import annotations

import msgspec
import pytest

from medlarspring_tables import ROW_TYPES_BY_KIND, ConfigTable, RowKind


def test_empty_table_survives_the_store():
    table = ConfigTable()
    encoded = msgspec.json.encode(table)
    assert msgspec.json.decode(encoded, type=ConfigTable) == table


@pytest.mark.parametrize("kind", list(RowKind))
def test_every_row_kind_has_a_type(kind: RowKind):
    assert "id" in ROW_TYPES_BY_KIND[kind].__struct_fields__
