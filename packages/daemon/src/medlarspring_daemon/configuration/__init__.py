"""The operators' configuration table: distribution to entry VMs, and edits."""

from __future__ import annotations
