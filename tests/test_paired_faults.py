from __future__ import annotations

import pytest
from pytest_bdd import scenarios

from medlarspring_bench.cluster import ClusterOptions

scenarios("features/paired_faults.feature")


@pytest.fixture(scope="module")
def cluster_options() -> ClusterOptions:
    return ClusterOptions(upstream_processes=1, lag_seconds=1.0, linked=True)
