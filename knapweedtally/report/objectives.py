"""Service-level objectives and the burn rates of their error budgets.

The burn rate is the share of bad events divided by the share that the
objective allows: at rate 1 the budget of a month lasts exactly a month. The
alerts combine a long and a short window, as in "The Site Reliability Workbook"
(Beyer et al., 2018), chapter 5, "Alerting on SLOs", section 6: 14.4 uses 2%
of a 30-day budget in 1 h, 6 uses 5% in 6 h, 1 uses 10% in 3 d.
"""

from typing import NamedTuple

MONTH_S = 30 * 24 * 3600.0


class Sums(NamedTuple):
    """Sums over one window, of one host or of all hosts.

    Attributes:
        seconds: length of the window, the longest of all hosts.
        group_s: seconds times groups, summed over the hosts.
        requests: requests with a final answer.
        failed: requests that were refused or ended with an unknown outcome.
        replica_reads: eligible reads that a replica served.
        primary_reads: eligible reads that the primary served.
        blocked_s: seconds in which writes of a group were blocked, summed over
            groups and hosts.
    """

    seconds: float = 0.0
    group_s: float = 0.0
    requests: int = 0
    failed: int = 0
    replica_reads: int = 0
    primary_reads: int = 0
    blocked_s: float = 0.0


class Objective(NamedTuple):
    """A service-level objective.

    Attributes:
        name: name of the objective, also used for its command option.
        title: what the objective requires.
        target: default of the share of good events, below 1.
        bad_fields: fields of ``Sums`` that count bad events.
        total_fields: fields of ``Sums`` that count all events.
    """

    name: str
    title: str
    target: float
    bad_fields: tuple[str, ...]
    total_fields: tuple[str, ...]


class Alert(NamedTuple):
    """A burn-rate threshold that triggers an action.

    Attributes:
        action: ``page`` or ``ticket``.
        long_window: name of the long window.
        short_window: name of the short window; it ends the alert soon after
            the burn rate has dropped.
        min_burn_rate: lowest burn rate in the short window that triggers the
            alert.
        min_used_budget: share of a month's budget that this burn rate uses up
            in the long window. The long window is compared with this share
            instead of the burn rate, so that hosts that have been running for
            less than the window don't trigger the alert too early.
    """

    action: str
    long_window: str
    short_window: str
    min_burn_rate: float
    min_used_budget: float


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
# The workbook pairs the 6 h window with a short window of 30 min; the nearest
# window that hosts keep is 1 h.
ALERTS = (
    Alert("page", "1h", "5m", 14.4, 0.02),
    Alert("page", "6h", "1h", 6.0, 0.05),
    Alert("ticket", "3d", "6h", 1.0, 0.10),
)
NO_ACTION = "none"


def add_sums(parts: list[Sums]) -> Sums:
    """Add up the sums of all hosts.

    The length of the result is that of the longest window.
    """
    if not parts:
        return Sums()
    columns = [sum(column) for column in zip(*parts, strict=True)]
    longest_s = max(part.seconds for part in parts)
    return Sums(*columns)._replace(seconds=longest_s)


def compute_bad_share(objective: Objective, sums: Sums) -> float | None:
    """Return the share of bad events, or None if there were no events."""
    total = sum(getattr(sums, name) for name in objective.total_fields)
    if total <= 0:
        return None
    bad = sum(getattr(sums, name) for name in objective.bad_fields)
    return min(1.0, bad / total)


def compute_burn_rate(objective: Objective, sums: Sums) -> float | None:
    """Return the burn rate, or None if there were no events."""
    share = compute_bad_share(objective, sums)
    if share is None:
        return None
    return share / (1.0 - objective.target)


def compute_used_budget(objective: Objective, sums: Sums) -> float | None:
    """Return the share of a month's budget that was used up in a window.

    Returns None if there were no events.
    """
    burn_rate = compute_burn_rate(objective, sums)
    if burn_rate is None:
        return None
    return burn_rate * sums.seconds / MONTH_S


def find_action(objective: Objective, sums_by_window: dict[str, Sums]) -> str:
    """Return the most urgent action that the burn rates trigger."""
    for alert in ALERTS:
        long_sums, short_sums = (
            sums_by_window.get(alert.long_window),
            sums_by_window.get(alert.short_window),
        )
        if long_sums is None or short_sums is None:
            continue
        used_budget = compute_used_budget(objective, long_sums) or 0.0
        burn_rate = compute_burn_rate(objective, short_sums) or 0.0
        if (
            used_budget >= alert.min_used_budget
            and burn_rate >= alert.min_burn_rate
        ):
            return alert.action
    return NO_ACTION
