"""Judge what ran for teams and their keys, and who was refused."""

import bisect
import math
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
from typing import NamedTuple

from standins.line_platform import monitor as monitor_module
from tests.soak import reachability as reachability_module
from tests.soak import teams as teams_module

# Length of the sliding window in which operations count, in seconds, and by
# which part of a limit and how many operations it may be exceeded: the
# platform's ``quotaWindowS``, ``quotaExcess`` and ``quotaSlack``.
WINDOW_S = 5.0
EXCESS = 0.1
SLACK = 20


class Refusal(NamedTuple):
    """A caller was refused with NOAUTH.

    Attributes:
        sent_s: time at which the caller sent its message, on the event loop's
            clock.
        answered_s: time of the answer.
        host: host that the caller was connected to.
        key: key of the caller.
    """

    sent_s: float
    answered_s: float
    host: str
    key: str


Reachabilities = Mapping[str, reachability_module.Reachability]


def check_revoked_keys(
    executions: Iterable[monitor_module.Execution],
    keys: Mapping[str, teams_module.Lifetime],
    operation_hosts: Mapping[str, str],
    reachabilities: Reachabilities,
) -> list[str]:
    """Return the statements that ran too late after their key was revoked.

    Args:
        executions: the statements that ran.
        keys: lifetimes of the keys.
        operation_hosts: host that the caller sent an operation to.
        reachabilities: when a host didn't reach the store, by host.
    """
    problems = []
    for execution in executions:
        lifetime = keys.get(execution.key)
        if lifetime is None or lifetime.revoked_s is None:
            continue
        host = operation_hosts[execution.operation]
        reachability = reachabilities[host]
        if execution.at_s > reachability.compute_deadline_s(lifetime.revoked_s):
            late_s = execution.at_s - lifetime.revoked_s
            problems.append(
                f"revoked_key: {execution.operation} of {host} ran for "
                f"{execution.key} {late_s:.2f} s after its revocation"
            )
    return problems


def check_refusals(
    refusals: Iterable[Refusal],
    keys: Mapping[str, teams_module.Lifetime],
    reachabilities: Reachabilities,
) -> list[str]:
    """Return the refusals of valid keys.

    A key is valid at a host from the time by which the host has to apply the
    version that added it until the acknowledgement of its revocation. No host
    reads a version that is older than the first.
    """
    problems = []
    for refusal in refusals:
        lifetime = keys.get(refusal.key, teams_module.Lifetime(-math.inf))
        reachability = reachabilities[refusal.host]
        known_s = lifetime.added_s
        if known_s > -math.inf:
            known_s = reachability.compute_deadline_s(known_s)
        revoked_s = lifetime.revoked_s
        if revoked_s is None:
            revoked_s = math.inf
        if known_s < refusal.sent_s and refusal.answered_s < revoked_s:
            age_s = refusal.sent_s - lifetime.added_s
            problems.append(
                f"valid_key: {refusal.host} refused {refusal.key} "
                f"{age_s:.2f} s after it was added"
            )
    return problems


def check_limit(
    team: str,
    executions: Iterable[monitor_module.Execution],
    limits: Sequence[teams_module.Limit],
) -> list[str]:
    """Return the window in which a team exceeds its limit most, if any.

    An operation counts once in each window, however often it is sent.

    Args:
        team: name of the team.
        executions: the statements that ran for the team.
        limits: the team's limits, oldest first.
    """
    arrivals = sorted((e.at_s, e.operation) for e in executions if e.is_first)
    times_s = [at_s for at_s, _ in arrivals]
    # A window that ends right before a limit is raised has the lower bound.
    starts_s = [*times_s, *(limit.at_s - WINDOW_S for limit in limits)]
    worst = (0.0, "")
    for start_s in starts_s:
        first = bisect.bisect_left(times_s, start_s)
        end = bisect.bisect_left(times_s, start_s + WINDOW_S)
        count = len({operation for _, operation in arrivals[first:end]})
        bound = compute_bound(limits, start_s)
        text = (
            f"limit: {count} operations of team {team} in the {WINDOW_S:g} s "
            f"from {start_s:.2f} exceed {bound:g}"
        )
        worst = max(worst, (count - bound, text))
    return [worst[1]] if worst[0] > 0 else []


def compute_bound(
    limits: Sequence[teams_module.Limit], start_s: float
) -> float:
    """Return how many operations a window may have.

    A lowered limit holds for windows that start ``APPLY_S`` after its
    acknowledgement, and a raised one for those that end after it.
    """
    since_s = start_s - reachability_module.APPLY_S
    in_force = [
        limit
        for limit, following in zip(limits, [*limits[1:], None], strict=True)
        if limit.at_s < start_s + WINDOW_S
        and (following is None or following.at_s > since_s)
    ]
    # Before its first limit a team runs nothing.
    largest = max(
        (limit.rate_per_s * WINDOW_S + limit.burst for limit in in_force),
        default=0.0,
    )
    return largest * (1 + EXCESS) + SLACK
