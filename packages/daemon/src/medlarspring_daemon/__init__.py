"""The daemon of every entry VM."""

from __future__ import annotations

import os

# gRPC's core writes lines of its own to standard error, where a collector of JSON
# lines stumbles over them; what they tell, events 4001 and 4006 tell too. It reads
# this once, when it is imported.
os.environ.setdefault("GRPC_VERBOSITY", "NONE")
