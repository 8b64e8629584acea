"""Figures of one played day, from the report of the users' bench.

The report's words are translated here and used nowhere else.
"""

import re
from typing import Any
from typing import NamedTuple

_RESETS = re.compile(r"servers reset (\d+) connections")
_BYTES_PRICE = "GB between zones"


class Figures(NamedTuple):
    """What callers got on one day, and what it cost.

    Attributes:
        worth: credit earned by credit owed as the site weighs its parts, less
            prices.
        served: share of the credit of the whole day.
        in_time: share of requests served within their objective.
        late: share of requests served later.
        refused: share of requests whose last answer was a refusal.
        failed: share of requests that ended in any other way.
        worst_windows: share of the credit in the worst windows.
        prices: sum of the prices.
        bytes_price: price of the bytes between data centres.
        turned_away: share of the arrivals at targets that did not run.
        again: share of the arrivals at targets that are further attempts.
        resets: connections that targets reset over their limit.
        broken_rules: number of broken rules.
    """

    worth: float
    served: float
    in_time: float
    late: float
    refused: float
    failed: float
    worst_windows: float
    prices: float
    bytes_price: float
    turned_away: float
    again: float
    resets: float
    broken_rules: float


def parse_report(report: dict[str, Any]) -> Figures:
    """Return the figures in a report.

    Raises:
        KeyError: the report lacks a field.
    """
    totals = report["all"]
    count = max(1, totals["n"] - totals["not_owed"])
    prices = {name: price or 0.0 for name, _, price in report["prices"]}
    parts = {name: credit for name, _, credit in report["parts"]}
    services = report["services"]
    arrivals = max(1, sum(service["arrivals"] for service in services))
    resets = [_RESETS.search(hint) for hint in report["hints"]]
    return Figures(
        worth=report["G"],
        served=report["served"],
        in_time=totals["in_aim"] / count,
        late=totals["late"] / count,
        refused=totals["refused"] / count,
        failed=totals["failed"] / count,
        worst_windows=parts.get("worst windows", 0.0),
        prices=sum(prices.values()),
        bytes_price=prices.get(_BYTES_PRICE, 0.0),
        turned_away=sum(s["not_run"] for s in services) / arrivals,
        again=sum(s["again"] for s in services) / arrivals,
        resets=float(sum(int(match[1]) for match in resets if match)),
        broken_rules=float(sum(map(_count, report["breaks"].values()))),
    )


def _count(cases: Any) -> int:
    return len(cases) if isinstance(cases, list | dict) else int(cases)
