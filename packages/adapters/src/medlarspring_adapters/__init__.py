"""Clients and servers for all external interfaces of the process."""

from __future__ import annotations
