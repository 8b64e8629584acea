"""Rows of the burn report, one per objective and window."""

from collections.abc import Sequence
from typing import Any

from knapweedtally.report import hosts
from knapweedtally.report import objectives

PERCENT = 100.0
COLUMNS = (
    "objective",
    "target",
    "window",
    "covered",
    "bad",
    "total",
    "burn",
    "month_used",
    "action",
)


def make_rows(
    report: hosts.Report, slos: Sequence[objectives.Objective]
) -> list[dict[str, Any]]:
    """Return the rows of some objectives, each row with its action."""
    result = []
    for objective in slos:
        action = objectives.find_action(objective, report.sums)
        for window, sums in report.sums.items():
            result.append(_make_row(objective, window, sums, action))
    return result


def _make_row(
    objective: objectives.Objective,
    window: str,
    sums: objectives.Sums,
    action: str,
) -> dict[str, Any]:
    burn_rate = objectives.compute_burn_rate(objective, sums)
    used_budget = objectives.compute_used_budget(objective, sums)
    bad = sum(getattr(sums, name) for name in objective.bad_fields)
    total = sum(getattr(sums, name) for name in objective.total_fields)
    return {
        "objective": objective.name,
        "target": f"{objective.target * PERCENT:g}%",
        "window": window,
        "covered": f"{sums.seconds:.0f} s",
        "bad": round(bad, 3),
        "total": round(total, 1),
        "burn": "no events" if burn_rate is None else round(burn_rate, 2),
        "month_used": "-" if used_budget is None else f"{used_budget:.3%}",
        "action": action,
    }
