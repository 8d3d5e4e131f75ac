"""Pure decisions over the tables: no clock, socket or log call inside."""

from __future__ import annotations
