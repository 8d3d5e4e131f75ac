"""The command line of the operators."""

from __future__ import annotations
