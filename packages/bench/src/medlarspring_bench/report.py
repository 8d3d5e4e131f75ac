"""The table of call outcomes by partner that the demo prints."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from rich.table import Table

from medlarspring_bench.history import AttemptOutcome
from medlarspring_bench.history_checker import Kind, Violation

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from medlarspring_bench.history import Call

COLUMNS = ("answered", "not run", "unknown", "lost", "doubled", "cut")


@dataclass(slots=True)
class PartnerReport:
    """Outcomes of one partner's calls."""

    partner: str
    sent: int
    counts: dict[str, int]
    p50_ms: float
    p99_ms: float


def report_by_partner(
    calls: Sequence[Call], violations: Iterable[Violation]
) -> list[PartnerReport]:
    """Return a report for each partner."""
    kinds_by_call: dict[str, set[Kind]] = {}
    for violation in violations:
        kinds_by_call.setdefault(violation.subject, set()).add(violation.kind)
    partners = dict.fromkeys(call.partner for call in calls)
    return [
        _report(
            partner, [call for call in calls if call.partner == partner], kinds_by_call
        )
        for partner in partners
    ]


def _report(
    partner: str, calls: list[Call], kinds_by_call: dict[str, set[Kind]]
) -> PartnerReport:
    def count_seen(*wanted: AttemptOutcome) -> int:
        return sum(call.outcome in wanted for call in calls)

    def count_kind(kind: Kind) -> int:
        return sum(kind in kinds_by_call.get(call.id, ()) for call in calls)

    times = sorted(
        (call.attempts[-1].ended_at - call.attempts[0].sent_at) * 1000
        for call in calls
        if call.outcome is AttemptOutcome.ANSWERED
    )
    return PartnerReport(
        partner=partner,
        sent=len(calls),
        counts={
            "answered": count_seen(AttemptOutcome.ANSWERED),
            "not run": count_seen(AttemptOutcome.NOT_RUN),
            "unknown": count_seen(AttemptOutcome.UNKNOWN, AttemptOutcome.RESET),
            "lost": count_kind(Kind.LOST),
            "doubled": count_kind(Kind.DOUBLED),
            "cut": count_kind(Kind.CUT),
        },
        p50_ms=percentile(times, 0.50),
        p99_ms=percentile(times, 0.99),
    )


def percentile(ordered: Sequence[float], part: float) -> float:
    """Return the value below which the given fraction of the ordered values lies."""
    if not ordered:
        return float("nan")
    return ordered[min(len(ordered) - 1, int(part * len(ordered)))]


def create_table(title: str, reports: Sequence[PartnerReport]) -> Table:
    """Return the reports as a table for the console."""
    table = Table(title=title)
    table.add_column("partner")
    for column in ("sent", *COLUMNS, "p50 ms", "p99 ms"):
        table.add_column(column, justify="right")
    for report in reports:
        table.add_row(
            report.partner,
            str(report.sent),
            *(str(report.counts[column]) for column in COLUMNS),
            f"{report.p50_ms:.0f}",
            f"{report.p99_ms:.0f}",
        )
    return table


__all__ = ["PartnerReport", "create_table", "percentile", "report_by_partner"]
