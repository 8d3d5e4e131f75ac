"""Stand-ins, demo, simulations and measurements for tests; never shipped."""

from __future__ import annotations
