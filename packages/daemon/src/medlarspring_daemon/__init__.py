"""The daemon of every entry VM."""

from __future__ import annotations
