"""Control of the jobs of pools and of their attempts on workers."""

from __future__ import annotations
