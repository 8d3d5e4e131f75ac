"""The operator port: responses, audit trail, status and control metrics."""

from __future__ import annotations
