"""The users' platform: its names, formats and calls; nothing here decides."""

from __future__ import annotations
