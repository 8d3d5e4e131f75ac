"""Stand-ins of the platform: each module is one process."""

from __future__ import annotations
