"""Job scheduling on workers: pure functions over ``WorkTables``."""

from __future__ import annotations
