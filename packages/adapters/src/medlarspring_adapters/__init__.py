"""Clients and servers for everything outside the process."""

from __future__ import annotations
