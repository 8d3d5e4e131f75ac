"""VMs of pools: waves, moves, spare."""

from __future__ import annotations
