"""Scheduling of jobs: accepting them, and controlling a cell of the fleet."""

from __future__ import annotations
