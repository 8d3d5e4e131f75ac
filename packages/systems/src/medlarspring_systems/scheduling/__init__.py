"""Scheduling of jobs on workers: pure decisions over ``WorkTables``."""

from __future__ import annotations
