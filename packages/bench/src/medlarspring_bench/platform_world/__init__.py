"""An emulator of the users' platform, under virtual time and with faults.

The real scheduling services run on it: several entry VMs, one store, workers with
leases and fencing tokens, and VMs that are moved and maintained. Simulating one
scenario ("day") takes a second or two; the same seed gives the same day.
"""

from __future__ import annotations
