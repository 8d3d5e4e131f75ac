"""Settings of the interpreter's cyclic garbage collector for a long-running process."""

from __future__ import annotations

import gc

YOUNG_THRESHOLD_OBJECTS = 20_000
"""Net new containers before the youngest objects are examined.

Each call to a worker or the store creates dozens that live only until its answer.
"""
MIDDLE_THRESHOLD_PASSES = 20
"""Passes over the youngest objects before those that survived one are examined."""
OLD_THRESHOLD_PASSES = 20
"""The same for the oldest objects, among them all tables; a pass over these holds up
every call in flight."""


def configure_garbage_collection() -> None:
    """Examine fewer objects less often; call it once the process has been set up.

    Modules and other objects that last until the end of the process are examined no
    more. Objects without reference cycles are freed at once as before.
    """
    gc.freeze()
    gc.set_threshold(
        YOUNG_THRESHOLD_OBJECTS, MIDDLE_THRESHOLD_PASSES, OLD_THRESHOLD_PASSES
    )


__all__ = ["configure_garbage_collection"]
