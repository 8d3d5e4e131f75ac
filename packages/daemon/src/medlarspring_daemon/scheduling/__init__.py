"""Job scheduling: accepts jobs and controls the cells of the fleet."""

from __future__ import annotations
