"""Jobs of pools and their attempts on workers."""

from __future__ import annotations
