"""Membership of entry VMs, and which of them holds each pool's control work."""

from __future__ import annotations
