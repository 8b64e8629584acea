"""Hosts that lend each other tokens, in virtual time and under faults."""

import bisect
import collections
import heapq
import itertools
import random
from collections.abc import Callable
from collections.abc import Mapping
from typing import Any

from knapweedtally.core.quotas import allocator
from knapweedtally.core.quotas import borrower
from knapweedtally.core.quotas import messages
from knapweedtally.core.quotas import outcomes
from knapweedtally.core.quotas import rules
from knapweedtally.core.quotas import slices

TOLERANCE = slices.Tolerance(5.0, 0.1, 20.0)
CHECK_INTERVAL_S = 0.5
TIMEOUT_S = 2.0
# How often a host that starts introduces itself, and how late a host acts on
# what it has heard, in seconds.
INTRODUCTION_INTERVAL_S = 0.2
NOTICE_DELAY_S = 0.05
SILENT_AFTER_S = 6.0
# Heartbeats and times after which a silent host isn't live, in seconds: in the
# own data centre, and in others.
HEARTBEATS_S = (1.0, 3.0)
LIVE_S = (3.0, 9.0)


class Host:
    """One host; its state is lost when it is killed."""

    def __init__(self, name: str, data_centre: str, now_s: float) -> None:
        self.name, self.data_centre = name, data_centre
        self.started_s = now_s
        self.allocator = allocator.Allocator(
            name, data_centre, TOLERANCE, now_s
        )
        self.borrower = borrower.Borrower(
            name, data_centre, TOLERANCE, random.Random(now_s).getrandbits(60)
        )
        self.heard_s: dict[str, float] = {}
        self.met: set[str] = set()
        self.marked: frozenset[str] = frozenset()
        self.has_met = False
        self.is_listed = True
        self.frozen_until_s = 0.0


class Model:
    """A fleet, its network and what targets ran.

    Attributes:
        ran: times at which targets ran a team's operations.
        refused: times at which its operations were refused.
        sent: number of messages between hosts.
        loss: share of the datagrams that is lost.
        late: share that arrives up to 0.4 s late.
        parted: names of hosts by the part of the network that they are in;
            hosts of different parts don't reach each other.
        limits: limits by team.
        held_until_s: until when no operation reaches a target.
        delayed_until_s: until when no answer reaches a host.
        has_store: whether hosts that start can list the others.
        is_single: whether one allocator for a team serves all data centres.
    """

    def __init__(
        self,
        hosts: int,
        limits: Mapping[str, slices.Limit],
        seed: int,
        data_centres: int = 3,
        is_single: bool = False,
    ) -> None:
        self.random = random.Random(seed)
        self.now_s = 1000.0
        self.limits = dict(limits)
        self.is_single = is_single
        self.ran: dict[str, list[float]] = collections.defaultdict(list)
        self.refused: dict[str, list[float]] = collections.defaultdict(list)
        self.sent = 0
        self.loss = self.late = 0.0
        self.parted: dict[str, int] = {}
        self.held_until_s = self.delayed_until_s = 0.0
        self.has_store = True
        self.places = {f"h{n}": f"dc{n % data_centres}" for n in range(hosts)}
        self.known = {
            name: "all" if is_single else place
            for name, place in self.places.items()
        }
        self.hosts: dict[str, Host] = {}
        self._queue: list[tuple[float, int, Callable[[], Any]]] = []
        self._numbers = itertools.count()
        self._operations: dict[int, tuple[str, str]] = {}
        self._marked: set[str] = set()
        for name in self.known:
            self.start(name)
            self.hosts[name].started_s -= 60.0
            self.hosts[name].allocator._since_s -= 60.0
            self.hosts[name].borrower._since_s -= 60.0
            self.hosts[name].heard_s = dict.fromkeys(self.known, self.now_s)
            self.hosts[name].met = set(self.known)
            self._update(self.hosts[name])
        self.at(0.0, self._mark_silent_hosts)

    # Faults.

    def start(self, name: str) -> None:
        """Start a host, or start it again if it was killed."""
        host = Host(name, self.known[name], self.now_s)
        self.hosts[name] = host
        host.is_listed = self.has_store
        host.marked = frozenset(self._marked)
        host.allocator.update_limits(self.limits, self.now_s)
        host.borrower.update_limits(self.limits, self.now_s)
        self._update(host)
        self.at(self.random.random() * CHECK_INTERVAL_S, self._check, host)
        self.at(0.0, self._introduce, host)

    def kill(self, name: str) -> None:
        """Kill a host."""
        self.hosts.pop(name, None)

    def freeze(self, name: str, duration_s: float) -> None:
        """Stop a host for a while; what it is sent waits."""
        if name in self.hosts:
            self.hosts[name].frozen_until_s = self.now_s + duration_s

    def set_limit(self, team: str, limit: slices.Limit) -> None:
        """Change a limit; the hosts learn of it within 2 s."""
        self.limits[team] = limit
        limits = dict(self.limits)
        for host in tuple(self.hosts.values()):
            self.at(self.random.uniform(0.0, 2.0), self._learn, host, limits)

    def _learn(self, host: Host, limits: Mapping[str, slices.Limit]) -> None:
        host.allocator.update_limits(limits, self.now_s)
        host.borrower.update_limits(limits, self.now_s)

    # Time.

    def at(
        self, delay_s: float, function: Callable[..., Any], *args: Any
    ) -> None:
        """Call a function after a while."""

        def call() -> None:
            # What concerns a host that is frozen waits, and what concerns one
            # that is gone is dropped.
            host = args[0] if args and isinstance(args[0], Host) else None
            if host is not None:
                if self.hosts.get(host.name) is not host:
                    return
                if self.now_s < host.frozen_until_s:
                    wait_s = host.frozen_until_s - self.now_s
                    self.at(wait_s, function, *args)
                    return
            function(*args)

        item = (self.now_s + delay_s, next(self._numbers), call)
        heapq.heappush(self._queue, item)

    def run(self, duration_s: float) -> None:
        """Let time pass."""
        end_s = self.now_s + duration_s
        while self._queue and self._queue[0][0] <= end_s:
            self.now_s, _, call = heapq.heappop(self._queue)
            call()
        self.now_s = end_s

    def offer(
        self,
        team: str,
        rate_per_s: float,
        duration_s: float,
        names: list[str],
    ) -> None:
        """Let callers of a team send operations to some hosts."""
        delay_s = self.random.expovariate(rate_per_s)
        while delay_s < duration_s:
            self.at(delay_s, self._start_operation, team, names)
            delay_s += self.random.expovariate(rate_per_s)

    def _start_operation(self, team: str, names: list[str]) -> None:
        host = self.hosts.get(self.random.choice(names))
        if host is not None:
            self.at(0.0, self.admit, host, team)

    # Hosts.

    def _check(self, host: Host) -> None:
        host.allocator.check(self.now_s)
        for other in self.hosts.values():
            if other is host or not self._reaches(other.name, host.name):
                continue
            if self.now_s >= other.frozen_until_s:
                is_remote = other.data_centre != host.data_centre
                age_s = self.random.random() * HEARTBEATS_S[is_remote]
                heard_s = max(other.started_s, self.now_s - age_s)
                known_s = host.heard_s.get(other.name, 0.0)
                host.heard_s[other.name] = max(known_s, heard_s)
        self._update(host)
        self.at(CHECK_INTERVAL_S, self._check, host)

    def _mark_silent_hosts(self) -> None:
        """Let one live host of each data centre mark those that it misses."""
        for place in sorted(set(self.known.values())):
            running = [
                host
                for host in self.hosts.values()
                if host.data_centre == place
                and self.now_s >= host.frozen_until_s
            ]
            if not self.has_store or not running:
                continue
            for name in self._list_local(running[0]):
                default_s = running[0].started_s
                heard_s = running[0].heard_s.get(name, default_s)
                is_silent = self.now_s - heard_s > SILENT_AFTER_S
                change = self._marked.add if is_silent else self._marked.discard
                change(name)
        self.at(1.0, self._mark_silent_hosts)

    def _introduce(self, host: Host) -> None:
        """Let a host that starts send to those that haven't answered it."""
        if self.now_s - host.started_s > rules.SETTLING_TIME_S:
            return
        for name in self._list_local(host) - host.met:
            self._send(host, name, self._answer_introduction)
        self.at(INTRODUCTION_INTERVAL_S, self._introduce, host)

    def _list_local(self, host: Host) -> set[str]:
        return {
            name
            for name, place in self.known.items()
            if place == host.data_centre and name != host.name
        }

    def _answer_introduction(self, host: Host, sender: str) -> None:
        host.heard_s[sender] = self.now_s
        delay_s = self.random.uniform(0.0, NOTICE_DELAY_S)
        self.at(delay_s, self._update, host)
        self._send(host, sender, self._meet)

    def _meet(self, host: Host, sender: str) -> None:
        host.met.add(sender)
        host.heard_s[sender] = self.now_s
        awaited = self._list_local(host) - host.marked
        host.has_met = host.has_met or awaited <= host.met
        self.at(self.random.uniform(0.0, NOTICE_DELAY_S), self._update, host)

    def _update(self, host: Host) -> None:
        live = {host.name: host.data_centre}
        recent = set()
        for name, heard_s in host.heard_s.items():
            is_remote = self.known[name] != host.data_centre
            if self.now_s - heard_s < LIVE_S[is_remote]:
                live[name] = self.known[name]
            if self.now_s - heard_s < rules.MEMORY_S:
                recent.add(name)
        if self.now_s - host.started_s < rules.UNHEARD_MEMORY_S:
            recent |= self.known.keys() - host.heard_s.keys()
        host.is_listed = host.is_listed or self.has_store
        known = self.known
        if not host.is_listed:
            names = {host.name, *host.heard_s}
            known = {name: self.known[name] for name in names}
            recent &= names
        fleet = slices.Fleet(
            live, known, frozenset(recent), host.is_listed, host.has_met
        )
        host.allocator.update_fleet(fleet, self.now_s)
        host.borrower.update_fleet(fleet, self.now_s)

    def _reaches(self, first: str, second: str) -> bool:
        return self.parted.get(first) == self.parted.get(second)

    def admit(self, host: Host, team: str) -> None:
        """Let an operation arrive at a host."""
        number = next(self._numbers)
        self._operations[number] = (host.name, team)
        now_s = self.now_s
        effects = host.borrower.admit(team, number, TIMEOUT_S, now_s)
        is_starting = host.borrower.is_starting(now_s)
        wait_s = rules.compute_wait_s(TIMEOUT_S, is_starting)
        self.at(wait_s + 0.001, self._check_team, host, team)
        self._apply(host, team, effects)

    def _check_team(self, host: Host, team: str) -> None:
        self._apply(host, team, host.borrower.check(team, self.now_s))

    def _apply(
        self, host: Host, team: str, effects: list[outcomes.Effect]
    ) -> None:
        for effect in effects:
            if isinstance(effect, outcomes.Admitted):
                self._use(host, team, effect.expires_s)
            elif isinstance(effect, outcomes.Refused):
                self.refused[team].append(self.now_s)
            elif isinstance(effect, outcomes.CheckLater):
                delay_s = effect.delay_s + 0.001
                self.at(delay_s, self._check_team, host, team)
            elif effect.host == host.name:
                lend = host.allocator.answer(host.name, effect.ask, self.now_s)
                self._receive(host, host.name, lend)
            else:
                self._send(host, effect.host, self._answer, effect.ask)
                delay_s = borrower.REPEAT_AFTER_S + 0.001
                self.at(delay_s, self._check_team, host, team)

    def _use(self, host: Host, team: str, expires_s: float) -> None:
        """Run an operation at once, or as late as its token allows."""
        wait_s = 0.0
        if self.random.random() < 0.2:
            wait_s = max(0.0, (expires_s - self.now_s) * 0.99)
        wait_s = max(wait_s, self.held_until_s - self.now_s)
        self.at(wait_s, self._run_at_target, host, team, expires_s)

    def _run_at_target(self, host: Host, team: str, expires_s: float) -> None:
        if rules.is_valid(expires_s, self.now_s):
            bisect.insort(self.ran[team], self.now_s)

    def _send(
        self, sender: Host, receiver: str, handler: Callable[..., Any], *args
    ) -> None:
        self.sent += 1
        if not self._reaches(sender.name, receiver):
            return
        if self.random.random() < self.loss:
            return
        is_remote = self.places[sender.name] != self.places[receiver]
        delay_s = self.random.uniform(0.0002, 0.0005) + 0.001 * is_remote
        if self.random.random() < self.late:
            delay_s += self.random.uniform(0.0, 0.4)
        host = self.hosts.get(receiver)
        if host is not None:
            self.at(delay_s, handler, host, sender.name, *args)

    def _answer(self, host: Host, asker: str, ask: messages.Ask) -> None:
        lend = host.allocator.answer(asker, ask, self.now_s)
        delay_s = max(0.0, self.delayed_until_s - self.now_s)
        self.at(delay_s, self._send, host, asker, self._receive, lend)

    def _receive(self, host: Host, sender: str, lend: messages.Lend) -> None:
        effects = host.borrower.handle_lend(sender, lend, self.now_s)
        self._apply(host, lend.team, effects)


def find_excess(
    times: list[float], limit: slices.Limit, since_s: float = 0.0
) -> float:
    """Return by how much a window exceeds the bound, at most; below 0 if none.

    Args:
        times: times at which targets ran operations, in order.
        limit: the team's limit.
        since_s: start of the first window that counts.
    """
    window_s, excess, slack = TOLERANCE
    total = limit.rate_per_s * window_s + limit.burst
    bound = total * (1 + excess) + slack
    worst = 0
    start = bisect.bisect_left(times, since_s)
    for end in range(start, len(times)):
        while times[end] - times[start] >= window_s:
            start += 1
        worst = max(worst, end - start + 1)
    return worst - bound
