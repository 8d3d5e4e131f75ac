"""The daemon that runs on every entry VM."""

from __future__ import annotations

import os

# gRPC's core writes plain text lines to standard error, which a collector of JSON
# lines can't parse; events 4001 and 4006 report the same facts. The variable is read
# only once, when gRPC is imported.
os.environ.setdefault("GRPC_VERBOSITY", "NONE")
