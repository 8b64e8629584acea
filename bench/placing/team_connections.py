"""Simulation of the connections of teams to targets, in virtual time.

Each target is simulated alone. Operations of teams drawn by a Zipf distribution
arrive at the holder that the design chooses, wait there for a connection of
their team and then for a slot of the target. Network latency is left out. Run
``python -m bench.placing.team_connections``.
"""

import collections
import dataclasses
import functools
import heapq
import itertools
import random
from collections.abc import Callable
from typing import NamedTuple

from knapweedtally.core.groups import team_connections

ZIPF_EXPONENT = 1.2
OPENING_S = 0.012
# Mean pause between the statements of a transaction, and their number.
PAUSE_S = 0.02
STATEMENT_COUNT_RANGE = (2, 12)


class Kind(NamedTuple):
    """Kind of operations; times are in seconds."""

    work_s: float
    objective_s: float
    deadline_s: float
    transaction_share: float


class Deployment(NamedTuple):
    """A deployment with teams; the rate is that of all targets together."""

    name: str
    slots: int
    limit: int
    teams: int
    rate: float
    kinds: tuple[Kind, ...]
    targets: int = 12


DEPLOYMENTS = (
    Deployment(
        "records",
        2,
        29,
        80,
        361.0,
        (
            Kind(0.003, 0.123, 1.5, 0.325),
            Kind(0.015, 0.303, 4.0, 0.1),
            Kind(0.009, 0.203, 1.5, 0.12),
        ),
    ),
    Deployment(
        "tolling",
        4,
        56,
        85,
        538.0,
        (
            Kind(0.006, 0.153, 2.5, 0.325),
            Kind(0.03, 1.003, 8.0, 0.1),
            Kind(0.018, 0.253, 2.5, 0.12),
        ),
    ),
)


class Design(NamedTuple):
    """How connections are distributed.

    Attributes:
        name: name of the design.
        holders: number of holders.
        places: connections of named teams at each holder.
        is_by_team: whether a team uses the first holder of its order, rather
            than any.
        is_shared: whether a connection serves all teams.
        is_kept: whether a connection is kept after its use.
        is_by_use: whether the least used connection is closed, rather than the
            least recently used one.
    """

    name: str
    holders: int
    places: int
    is_by_team: bool = True
    is_shared: bool = False
    is_kept: bool = True
    is_by_use: bool = True


def list_designs(limit: int) -> list[Design]:
    """Return the designs that are compared, for a target's limit."""
    old_holders = (limit - 2) // 3
    designs = [
        Design("any team (bound)", 1, limit - 2, is_shared=True),
        Design(
            "holders of today",
            old_holders,
            3,
            is_by_team=False,
            is_by_use=False,
        ),
    ]
    for count in (2, 3, 4, 6):
        share = team_connections.get_share(limit, True, count)
        designs += [
            Design(f"{count}, by recency", count, share - 1, is_by_use=False),
            Design(f"{count}, by use", count, share - 1),
        ]
    return [*designs, Design("open for each", 1, limit - 2, is_kept=False)]


@dataclasses.dataclass(slots=True, eq=False)
class Connection:
    """A connection, and whether an operation uses it."""

    team: str
    holder: int
    is_idle: bool = False
    is_held: bool = False
    idle_since_s: float = 0.0


@dataclasses.dataclass(slots=True, eq=False)
class Operation:
    """An operation and how many of its statements are left."""

    team: str
    kind: Kind
    arrived_s: float
    statements: int
    is_placed: bool = False


@dataclasses.dataclass(slots=True)
class Tally:
    """Results of one or more runs; waits are those for a connection."""

    operations: int = 0
    refused: int = 0
    in_time: int = 0
    openings: int = 0
    evictions: int = 0
    waits_s: list[float] = dataclasses.field(default_factory=list)


class Simulation:
    """One target with its holders under one design."""

    def __init__(self, deployment: Deployment, design: Design) -> None:
        """Create a target without connections."""
        self._deployment = deployment
        self._design = design
        self.tally = Tally()
        self._now_s = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._connections: list[list[Connection]] = [
            [] for _ in range(design.holders)
        ]
        self._opening: list[collections.Counter[str]] = [
            collections.Counter() for _ in range(design.holders)
        ]
        self._waiting: list[list[Operation]] = [
            [] for _ in range(design.holders)
        ]
        self._rates = [
            team_connections.UseRates() for _ in range(design.holders)
        ]
        self._busy_slots = 0
        self._slot_queue: collections.deque[
            tuple[float, Callable[[], None]]
        ] = collections.deque()
        self._first_holders: dict[str, int] = {}

    def run(self, load: float, duration_s: float, seed: int) -> Tally:
        """Run arrivals for a time, then until all operations ended."""
        self._random = random.Random(seed)
        teams = [f"team-{n}" for n in range(self._deployment.teams)]
        weights = [(n + 1) ** -ZIPF_EXPONENT for n in range(len(teams))]
        rate = self._deployment.rate / self._deployment.targets * load
        at_s = 0.0
        while (at_s := at_s + self._random.expovariate(rate)) < duration_s:
            (team,) = self._random.choices(teams, weights)
            kind = self._random.choice(self._deployment.kinds)
            count = 1
            if self._random.random() < kind.transaction_share:
                count = self._random.randint(*STATEMENT_COUNT_RANGE)
            operation = Operation(team, kind, at_s, count)
            self._schedule(at_s, functools.partial(self._arrive, operation))
        while self._events:
            self._now_s, _, run = heapq.heappop(self._events)
            run()
        return self.tally

    def _schedule(self, at_s: float, run: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at_s, next(self._order), run))

    def _use_slot(self, work_s: float, on_end: Callable[[], None]) -> None:
        if self._busy_slots >= self._deployment.slots:
            self._slot_queue.append((work_s, on_end))
            return
        self._busy_slots += 1

        def end() -> None:
            self._busy_slots -= 1
            if self._slot_queue:
                self._use_slot(*self._slot_queue.popleft())
            on_end()

        self._schedule(self._now_s + work_s, end)

    def _choose_holder(self, team: str) -> int:
        count = self._design.holders
        if not self._design.is_by_team:
            return self._random.randrange(count)
        if team not in self._first_holders:
            names = [f"host-{n}" for n in range(count)]
            first = team_connections.rank_holders(team, names)[0]
            self._first_holders[team] = names.index(first)
        return self._first_holders[team]

    def _arrive(self, operation: Operation) -> None:
        self.tally.operations += 1
        if self._design.is_shared:
            operation.team = "any"
        holder = self._choose_holder(operation.team)
        self._waiting[holder].append(operation)
        limit_s = self._now_s + operation.kind.deadline_s
        self._schedule(limit_s, lambda: self._refuse(operation, holder))
        self._serve(holder)

    def _refuse(self, operation: Operation, holder: int) -> None:
        if operation in self._waiting[holder]:
            self._waiting[holder].remove(operation)
            self.tally.refused += 1

    def _serve(self, holder: int) -> None:
        """Give idle connections to waiting operations, and open others."""
        for operation in tuple(self._waiting[holder]):
            connection = next(
                (
                    c
                    for c in self._connections[holder]
                    if c.is_idle and c.team == operation.team
                ),
                None,
            )
            if connection is not None:
                self._waiting[holder].remove(operation)
                self.tally.waits_s.append(self._now_s - operation.arrived_s)
                self._rates[holder].record(operation.team, self._now_s)
                connection.is_idle = False
                connection.is_held = operation.statements > 1
                self._run_statement(operation, connection)
        teams = collections.Counter(o.team for o in self._waiting[holder])
        for team, waiting in teams.items():
            self._open(holder, team, waiting)

    def _open(self, holder: int, team: str, waiting: int) -> None:
        slots = self._deployment.slots
        if self._design.is_shared:
            slots = self._design.places
        while True:
            connections = self._connections[holder]
            usage = team_connections.Usage(
                [
                    team_connections.ConnectionState(
                        c.team,
                        c.is_idle,
                        c.is_held,
                        c.idle_since_s,
                        self._rates[holder].get(c.team, self._now_s)
                        if self._design.is_by_use
                        else 0.0,
                    )
                    for c in connections
                ],
                self._opening[holder],
                0,
            )
            # One place of a share is kept for control statements.
            share = self._design.places + 1
            plan = team_connections.plan_opening(
                team, waiting, usage, share, slots
            )
            if plan is None:
                return
            if plan.evicted is not None:
                del connections[plan.evicted]
                self.tally.evictions += 1
            self.tally.openings += 1
            self._opening[holder][team] += 1
            self._use_slot(OPENING_S, lambda: self._end_opening(holder, team))

    def _end_opening(self, holder: int, team: str) -> None:
        self._opening[holder][team] -= 1
        connection = Connection(team, holder, True, False, self._now_s)
        self._connections[holder].append(connection)
        self._serve(holder)

    def _run_statement(
        self, operation: Operation, connection: Connection
    ) -> None:
        work_s = self._random.expovariate(1 / operation.kind.work_s)
        self._use_slot(
            work_s, lambda: self._end_statement(operation, connection)
        )

    def _end_statement(
        self, operation: Operation, connection: Connection
    ) -> None:
        if not operation.is_placed:
            operation.is_placed = True
            took_s = self._now_s - operation.arrived_s
            self.tally.in_time += took_s <= operation.kind.objective_s
        operation.statements -= 1
        if operation.statements:
            pause_s = self._random.expovariate(1 / PAUSE_S)
            self._schedule(
                self._now_s + pause_s,
                lambda: self._run_statement(operation, connection),
            )
            return
        connection.is_idle, connection.is_held = True, False
        connection.idle_since_s = self._now_s
        if not self._design.is_kept:
            self._connections[connection.holder].remove(connection)
        self._serve(connection.holder)


def format_results(load: float, duration_s: float, seed: int) -> str:
    """Return a table of all deployments and designs."""
    lines = [
        f"load {load}, {duration_s:g} s, first seed {seed}",
        f"{'deployment':10} {'design':17} {'opened/s':>8} {'evicted/s':>9} "
        f"{'mean ms':>8} {'p99 ms':>8} {'refused':>8} {'in aim':>7}",
    ]
    for deployment in DEPLOYMENTS:
        for design in list_designs(deployment.limit):
            total = Tally()
            for target in range(deployment.targets):
                simulation = Simulation(deployment, design)
                tally = simulation.run(load, duration_s, seed + target)
                total.operations += tally.operations
                total.refused += tally.refused
                total.in_time += tally.in_time
                total.openings += tally.openings
                total.evictions += tally.evictions
                total.waits_s += tally.waits_s
            waits_s = sorted(total.waits_s)
            lines.append(
                f"{deployment.name:10} {design.name:17} "
                f"{total.openings / duration_s:8.1f} "
                f"{total.evictions / duration_s:9.1f} "
                f"{sum(waits_s) / len(waits_s) * 1000:8.1f} "
                f"{waits_s[int(len(waits_s) * 0.99)] * 1000:8.1f} "
                f"{total.refused / total.operations:8.4f} "
                f"{total.in_time / total.operations:7.4f}"
            )
    return "\n".join(lines)


def main() -> None:
    """Print the tables."""
    for load in (1.0, 1.7):
        print(format_results(load, 60.0, 1), flush=True)


if __name__ == "__main__":
    main()
