"""An emulator of the users' platform, under virtual time and with faults.

Real services of scheduling run on it: several entry VMs, one store, workers with
leases and fences, VMs that move and are maintained. A day of it takes a second or
two, and the same seed gives the same day.
"""

from __future__ import annotations
