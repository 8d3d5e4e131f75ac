"""The callers' port: reading, deciding, sending on, answering; slots of VMs."""

from __future__ import annotations
