"""Adapter for the users' platform: names, formats and calls, no decision logic."""

from __future__ import annotations
