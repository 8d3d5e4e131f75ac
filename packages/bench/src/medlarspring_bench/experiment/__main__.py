"""``python -m medlarspring_bench.experiment``: the ablation table and its chart."""

from __future__ import annotations

import argparse
import statistics
from pathlib import Path
from typing import TYPE_CHECKING

import pygal

from medlarspring_bench.experiment.ablation import HEADER, PLANS, measure
from medlarspring_bench.experiment.mechanisms import MECHANISMS

if TYPE_CHECKING:
    from medlarspring_bench.experiment.ablation import Row


def main() -> None:
    """Run the ablation, print its table, and write the chart if requested."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=6)
    parser.add_argument("--jobs", type=int, default=4, help="runs at a time")
    parser.add_argument("--plan", action="append", choices=list(PLANS))
    parser.add_argument(
        "--mechanism", action="append", choices=[each.name for each in MECHANISMS]
    )
    parser.add_argument("--chart", type=Path, help="SVG file to write")
    options = parser.parse_args()
    names = options.mechanism or [each.name for each in MECHANISMS]
    rows = measure(options.plan or list(PLANS), names, options.seeds, options.jobs)
    print(HEADER)
    for row in rows:
        print(row.describe())
    if options.chart is not None:
        draw(rows, options.chart)


def draw(rows: list[Row], path: Path) -> None:
    """Write a chart of each mechanism's gain in jobs in time, in percentage points."""
    chart = pygal.HorizontalBar(
        title="Jobs in time: with a mechanism minus without it, in percent"
    )
    plan_names = list(dict.fromkeys(row.plan_name for row in rows))
    mechanisms = list(dict.fromkeys(row.mechanism for row in rows))
    chart.x_labels = plan_names
    for mechanism in mechanisms:
        values = [
            round(100 * statistics.mean(row.in_time), 2)
            for row in rows
            if row.mechanism == mechanism
        ]
        chart.add(mechanism, values)
    chart.render_to_file(str(path))


if __name__ == "__main__":
    main()
