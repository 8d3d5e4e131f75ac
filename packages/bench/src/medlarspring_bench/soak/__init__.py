"""A soak of the real programs: processes on loopback, faults from outside them.

The platform (store, VM control, workers) runs in the driver's process; entry VMs
are processes of their own, reached and reaching out only through proxies.
"""

from __future__ import annotations
