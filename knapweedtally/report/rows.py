"""The rows of the burn report: one for each objective and window."""

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
    report: hosts.Report, chosen: Sequence[objectives.Objective]
) -> list[dict[str, Any]]:
    """Return the rows, each with the action of its objective."""
    made = []
    for objective in chosen:
        action = objectives.find_action(objective, report.sums)
        for window, sums in report.sums.items():
            made.append(_make_row(objective, window, sums, action))
    return made


def _make_row(
    objective: objectives.Objective,
    window: str,
    sums: objectives.Sums,
    action: str,
) -> dict[str, Any]:
    burn = objectives.compute_burn(objective, sums)
    used = objectives.compute_used_budget(objective, sums)
    bad = sum(getattr(sums, name) for name in objective.bad)
    total = sum(getattr(sums, name) for name in objective.total)
    return {
        "objective": objective.name,
        "target": f"{objective.target * PERCENT:g}%",
        "window": window,
        "covered": f"{sums.seconds:.0f} s",
        "bad": round(bad, 3),
        "total": round(total, 1),
        "burn": "no events" if burn is None else round(burn, 2),
        "month_used": "-" if used is None else f"{used:.3%}",
        "action": action,
    }
