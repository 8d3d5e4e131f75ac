from __future__ import annotations

import pytest

from medlarspring_systems.scheduling.view_age import is_view_current

NOW = 1_000.0


@pytest.mark.parametrize(
    ("age", "drain", "is_current"),
    [
        (0.0, 2.0, True),
        (1.6, 2.0, True),
        (1.74, 2.0, True),
        (1.76, 2.0, False),
        (1.99, 2.0, False),
        (3.7, 4.0, True),
        (3.8, 4.0, False),
        (1.2, 0.5, True),
        (1.3, 0.5, False),
    ],
)
def test_view_is_current_while_an_order_can_still_arrive_in_time(
    age: float, drain: float, is_current: bool
):
    assert is_view_current(NOW - age, drain, NOW) == is_current


def test_view_that_was_never_confirmed_is_not_current():
    assert not is_view_current(None, 2.0, NOW)
