"""Soak tests of the real programs on loopback, with faults injected from outside.

The platform (store, VM control, workers) runs in the driver's process. Each entry
VM is a separate process, and all its connections pass through proxies.
"""

from __future__ import annotations
