from __future__ import annotations

from pytest_bdd import scenarios

scenarios("features/upstream_faults.feature")
