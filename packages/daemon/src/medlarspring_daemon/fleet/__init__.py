"""Control work on the VMs of pools: waves, moves and spare capacity."""

from __future__ import annotations
