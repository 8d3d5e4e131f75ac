"""Stand-ins, demo and measurements; never shipped."""

from __future__ import annotations
