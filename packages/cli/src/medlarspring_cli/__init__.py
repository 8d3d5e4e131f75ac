"""Command-line client for operators of medlarspring."""

from __future__ import annotations
