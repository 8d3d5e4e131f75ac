"""The operators' port: answers, audit, status, metrics of control work."""

from __future__ import annotations
