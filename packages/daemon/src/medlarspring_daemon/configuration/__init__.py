"""The operators' table: what is in force, and how edits become so."""

from __future__ import annotations
