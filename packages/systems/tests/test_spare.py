from __future__ import annotations

import pytest

from medlarspring_systems.spare import FailureDomain, report_spare
from medlarspring_tables.vms import VMCondition


@pytest.mark.parametrize(
    ("domain", "needed"), [(FailureDomain.RACK, 4), (FailureDomain.ZONE, 8)]
)
def test_spare_covers_the_largest_domain_once_for_all_pools(fleet, domain, needed):
    fleet.add_pool("b", vms=8, wanted=8, min_available=6)
    report = report_spare(
        fleet.tables,
        fleet.config.pools_by_id,
        fleet.config.fleet,
        domain,
        preemptible_use=9,
    )
    assert (report.held, report.needed, report.preemptible_use) == (4, needed, 4)
    assert report.short == needed - 4
    assert sum(report.held_by_zone.values()) == 4


def test_failed_vms_do_not_count_as_spare(fleet):
    for vm in ("a0", "a1", "a2"):
        fleet.observe(vm, VMCondition.DOWN)
    report = report_spare(fleet.tables, fleet.config.pools_by_id, fleet.config.fleet)
    assert report.held == 0
