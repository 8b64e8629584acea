"""Comparison of decisions about quotas with 80 hosts in virtual time.

``python -m tests.quotas.comparison`` prints the table of
``docs/design/quotas.md``.
"""

import bisect
from collections.abc import Callable
from typing import NamedTuple

from knapweedtally.core.quotas import slices
from knapweedtally.entry.fleet import extension_messages
from knapweedtally.entry.limits import quota_messages
from tests.quotas import model

TEAM = "t"
HOSTS = 80
WARM_UP_S = 5.0
# When the last lease of the old limit has expired.
LOWERED_S = 1000.0 + WARM_UP_S + 5.0 + 2.25
LIMIT = slices.Limit(1, 100.0, 100.0)


class StaticModel(model.Model):
    """Each host keeps an equal share of a limit, without messages."""

    def admit(self, host: model.Host, team: str) -> None:
        """Use a token of the host's own bucket."""
        buckets = host.__dict__.setdefault("buckets", {})
        limit = self.limits[team]
        level, updated_s = buckets.get(team, (0.0, 0.0))
        capacity = max(1.0, limit.burst / HOSTS)
        gained = (self.now_s - updated_s) * limit.rate_per_s / HOSTS
        level = min(capacity, level + gained)
        if level < 1:
            self.refused[team].append(self.now_s)
        else:
            level -= 1
            self.ran[team].append(self.now_s)
        buckets[team] = (level, self.now_s)


class Scenario(NamedTuple):
    """Demand, and what happens meanwhile.

    Attributes:
        name: name in the table.
        duration_s: how long it lasts.
        prepare: called with the fleet after the warm-up.
    """

    name: str
    duration_s: float
    prepare: Callable[[model.Model], None]


def offer_hot(fleet: model.Model) -> None:
    """Send 7.5 times half of the limit for 6.5 s."""
    names = list(fleet.known)
    fleet.offer(TEAM, 50.0 * 7.5, 6.5, names)


def lower_limit(fleet: model.Model) -> None:
    """Lower the limit of a team that sends 80% of it to a quarter."""
    fleet.offer(TEAM, 80.0, 15.0, list(fleet.known))
    fleet.at(5.0, fleet.set_limit, TEAM, slices.Limit(2, 25.0, 25.0))


def offer_small(fleet: model.Model) -> None:
    """Let 79 small teams send 60% of 3 operations a second each."""
    for number in range(79):
        fleet.offer(f"s{number}", 1.8, 15.0, list(fleet.known))


def offer_even(fleet: model.Model) -> None:
    """Send 80% of the limit over all hosts."""
    fleet.offer(TEAM, 80.0, 15.0, list(fleet.known))


def offer_uneven(fleet: model.Model) -> None:
    """Send 80% of the limit over five hosts of one data centre."""
    fleet.offer(TEAM, 80.0, 15.0, ["h0", "h3", "h6", "h9", "h12"])


def cut_data_centre(fleet: model.Model) -> None:
    """Send 80% of the limit over all hosts while a data centre is cut off."""
    fleet.offer(TEAM, 80.0, 15.0, list(fleet.known))
    local = [n for n, place in fleet.places.items() if place == "dc1"]
    fleet.parted = dict.fromkeys(local, 1)


SCENARIOS = (
    Scenario("7.5 times the load", 6.5, offer_hot),
    Scenario("lowered to a quarter", 15.0, lower_limit),
    Scenario("79 small teams", 15.0, offer_small),
    Scenario("even, 80%", 15.0, offer_even),
    Scenario("uneven, 80%", 15.0, offer_uneven),
    Scenario("data centre cut off, 80%", 15.0, cut_data_centre),
)


def make_fleets(is_small: bool) -> dict[str, model.Model]:
    """Return a fleet for each decision."""
    limits = {TEAM: LIMIT}
    if is_small:
        limits = {f"s{n}": slices.Limit(1, 3.0, 3.0) for n in range(79)}
    return {
        "equal share": StaticModel(HOSTS, limits, 1),
        "one allocator": model.Model(HOSTS, limits, 1, is_single=True),
        "slices": model.Model(HOSTS, limits, 1),
    }


def count_losses(fleet: model.Model, team: str, is_lowered: bool) -> int:
    """Return how many operations fewer were served than the windows allow.

    The most is what a sliding window with all operations in one place admits.
    """
    admitted: list[float] = []
    for at_s in sorted(fleet.ran[team] + fleet.refused[team]):
        has_old_limit = is_lowered and at_s < LOWERED_S
        limit = LIMIT if has_old_limit else fleet.limits[team]
        total = limit.rate_per_s * model.TOLERANCE.window_s + limit.burst
        start_s = at_s - model.TOLERANCE.window_s
        if len(admitted) - bisect.bisect(admitted, start_s) < total:
            admitted.append(at_s)
    return max(0, len(admitted) - len(fleet.ran[team]))


def format_row(scenario: Scenario, decision: str, fleet: model.Model) -> str:
    """Run a scenario and return a row of the table."""
    fleet.run(WARM_UP_S)
    scenario.prepare(fleet)
    fleet.run(scenario.duration_s + 0.5)
    is_lowered = scenario.prepare is lower_limit
    teams = set(fleet.ran) | set(fleet.refused)
    ran = sum(len(fleet.ran[team]) for team in teams)
    refused = sum(len(fleet.refused[team]) for team in teams)
    excess = max(
        model.find_excess(
            fleet.ran[team],
            fleet.limits[team],
            LOWERED_S if is_lowered else 0.0,
        )
        for team in teams
    )
    losses = sum(count_losses(fleet, team, is_lowered) for team in teams)
    rate = fleet.sent / scenario.duration_s
    return (
        f"| {scenario.name} | {decision} | {ran} | {refused} | {losses} | "
        f"{excess:.0f} | {rate:.0f} | {fleet.sent / max(1, ran):.2f} |"
    )


def print_sizes() -> None:
    """Print the sizes of a question and an answer."""
    limit = slices.Limit(1234, 195.0, 100.0)
    ask = quota_messages.encode_ask(
        quota_messages.messages.Ask(2**60, "team-12", limit, 1, 0)
    )
    lend = quota_messages.encode_lend(
        quota_messages.messages.Lend(
            2**60,
            "team-12",
            quota_messages.messages.Reply.GRANTED,
            1,
            0.5,
            0.0,
            limit,
        )
    )
    for kind, payload in (
        (quota_messages.ASK_KIND, ask),
        (quota_messages.LEND_KIND, lend),
    ):
        data = extension_messages.encode_message("entry-12", kind, payload)
        print(f"{kind}: {len(data)} bytes")


def main() -> None:
    """Print the table."""
    for scenario in SCENARIOS:
        for decision, fleet in make_fleets(
            scenario.prepare is offer_small
        ).items():
            print(format_row(scenario, decision, fleet), flush=True)
    print_sizes()


if __name__ == "__main__":
    main()
