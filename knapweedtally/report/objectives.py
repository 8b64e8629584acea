"""Service-level objectives, and how fast their budgets are used up.

The burn rate is the share of bad events divided by the share that the
objective allows: at rate 1 the budget of a month lasts exactly a month. The
alerts join a long and a short window, as in "The Site Reliability Workbook"
(Beyer et al., 2018), chapter 5, "Alerting on SLOs", section 6: 14.4 uses 2%
of a 30-day budget in 1 h, 6 uses 5% in 6 h, 1 uses 10% in 3 d.
"""

from typing import NamedTuple

MONTH_S = 30 * 24 * 3600.0


class Sums(NamedTuple):
    """Hold the sums over one window, of one host or of all.

    Attributes:
        seconds: length of the window, the longest of all hosts.
        group_s: seconds times groups, summed over the hosts.
        requests: requests with a final answer.
        failed: those refused or with an unknown outcome.
        replica_reads: eligible reads that a replica served.
        primary_reads: eligible reads that the primary served.
        blocked_s: seconds in which writes of a group could not land, summed
            over groups and hosts.
    """

    seconds: float = 0.0
    group_s: float = 0.0
    requests: int = 0
    failed: int = 0
    replica_reads: int = 0
    primary_reads: int = 0
    blocked_s: float = 0.0


class Objective(NamedTuple):
    """Describe an objective.

    Attributes:
        name: name, also of its option.
        title: what it demands.
        target: default of the share of good events, below 1.
        bad: fields of ``Sums`` that count bad events.
        total: fields of ``Sums`` that count all events.
    """

    name: str
    title: str
    target: float
    bad: tuple[str, ...]
    total: tuple[str, ...]


class Alert(NamedTuple):
    """Describe a burn rate that asks for an action.

    Attributes:
        action: ``page`` or ``ticket``.
        long: name of the long window.
        short: name of the short window; it ends the alert soon afterwards.
        rate: lowest burn rate in both.
        budget: share of a month's budget that the rate uses up in the long
            window. It is what the alert looks at, so that hosts that run for
            less than the window don't ask for an action too early.
    """

    action: str
    long: str
    short: str
    rate: float
    budget: float


OBJECTIVES = (
    Objective(
        "writes",
        "time in which writes can land",
        0.9995,
        ("blocked_s",),
        ("group_s",),
    ),
    Objective(
        "replica-share",
        "eligible reads served by replicas",
        0.90,
        ("primary_reads",),
        ("primary_reads", "replica_reads"),
    ),
    Objective(
        "errors",
        "requests neither refused nor unknown",
        0.999,
        ("failed",),
        ("requests",),
    ),
)
# The workbook's short window of 6 h is 30 min; the nearest kept one is 1 h.
ALERTS = (
    Alert("page", "1h", "5m", 14.4, 0.02),
    Alert("page", "6h", "1h", 6.0, 0.05),
    Alert("ticket", "3d", "6h", 1.0, 0.10),
)
NO_ACTION = "none"


def add_sums(parts: list[Sums]) -> Sums:
    """Return the sums of all hosts, over the longest of their windows."""
    if not parts:
        return Sums()
    columns = [sum(column) for column in zip(*parts, strict=True)]
    longest_s = max(part.seconds for part in parts)
    return Sums(*columns)._replace(seconds=longest_s)


def compute_bad_share(objective: Objective, sums: Sums) -> float | None:
    """Return the share of bad events, or None when there were no events."""
    total = sum(getattr(sums, name) for name in objective.total)
    if total <= 0:
        return None
    bad = sum(getattr(sums, name) for name in objective.bad)
    return min(1.0, bad / total)


def compute_burn(objective: Objective, sums: Sums) -> float | None:
    """Return the burn rate, or None when there were no events."""
    share = compute_bad_share(objective, sums)
    if share is None:
        return None
    return share / (1.0 - objective.target)


def compute_used_budget(objective: Objective, sums: Sums) -> float | None:
    """Return the share of a month's budget that a window used up."""
    burn = compute_burn(objective, sums)
    if burn is None:
        return None
    return burn * sums.seconds / MONTH_S


def find_action(objective: Objective, by_window: dict[str, Sums]) -> str:
    """Return the most urgent action that the burn rates ask for."""
    for alert in ALERTS:
        long, short = by_window.get(alert.long), by_window.get(alert.short)
        if long is None or short is None:
            continue
        used = compute_used_budget(objective, long) or 0.0
        recent = compute_burn(objective, short) or 0.0
        if used >= alert.budget and recent >= alert.rate:
            return alert.action
    return NO_ACTION
