"""Pure decision logic over the tables, without clock, network or logging."""

from __future__ import annotations
