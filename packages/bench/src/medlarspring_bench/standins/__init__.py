"""Stand-ins for the services of the platform; each service is one process."""

from __future__ import annotations
