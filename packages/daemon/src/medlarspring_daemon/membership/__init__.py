"""The other entry VMs, and who holds which pool's control work."""

from __future__ import annotations
