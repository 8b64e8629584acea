"""Simulated targets, network, store and promotion call of one group.

They behave as the platform allows, and record every commit that a caller was
told of, so that a promotion of a target that lacks one is noticed.
"""

import asyncio
import dataclasses
import json
import random
from collections.abc import Callable
from typing import Any

from knapweedtally.core import store_revisions
from knapweedtally.core.groups import member_records
from knapweedtally.core.groups import model
from knapweedtally.core.groups import statements
from knapweedtally.entry.fleet import store as store_module
from knapweedtally.utils import http
from tests.groups import virtual_loop

START_S = 100.0
GROUP = "g"
PUSH_INTERVAL_S = 0.05
_READ_ONLY = statements.Code.READ_ONLY


@dataclasses.dataclass
class Commit:
    """One commit, and who received and was told of it."""

    id: int
    host: str
    target: str
    term: int
    made_s: float
    told_s: float | None = None
    received: dict[str, float] = dataclasses.field(default_factory=dict)
    is_lost: bool = False


@dataclasses.dataclass
class Effect:
    """One promotion that took effect, with the log at that moment."""

    at_s: float
    target: str
    term: int
    log: frozenset[int]


class World:
    """The time, the network, the trace and the record of commits."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.dead: set[str] = set()
        self._seed = seed
        self._link_random: dict[tuple[str, str], random.Random] = {}
        self.loop = virtual_loop.VirtualLoop(START_S)
        self.cut: set[frozenset[str]] = set()
        self.slow_probability = 0.02
        self.max_delay_s = 0.2
        self.trace: list[tuple[float, str]] = []
        self.commits: dict[int, Commit] = {}
        self.effects: list[Effect] = []
        self.losses: list[str] = []
        self.targets: dict[str, Target] = {}
        self.next_started_ms = 1
        self.told_count = 0

    @property
    def now_s(self) -> float:
        return self.loop.now_s

    def note(self, text: str) -> None:
        """Add an event to the trace."""
        self.trace.append((self.now_s - START_S, text))

    def send(self, source: str, sink: str, deliver: Callable[[], None]) -> None:
        """Deliver a message after a delay unless the link is cut."""
        link = frozenset((source, sink))
        if link in self.cut:
            return
        delay_s = self._draw_delay_s(source, sink)

        def deliver_unless_cut() -> None:
            if link not in self.cut:
                deliver()

        self.loop.call_later(delay_s, deliver_unless_cut)

    def _draw_delay_s(self, source: str, sink: str) -> float:
        # One generator per link: some orders are sent in the order of a set.
        rng = self._link_random.get((source, sink))
        if rng is None:
            rng = random.Random(f"{self._seed}/{source}/{sink}")
            self._link_random[source, sink] = rng
        delay_s = rng.uniform(0.001, 0.006)
        if rng.random() < self.slow_probability:
            delay_s += rng.uniform(0.0, self.max_delay_s)
        return delay_s

    def cut_link(self, one: str, other: str) -> None:
        if frozenset((one, other)) not in self.cut:
            self.cut.add(frozenset((one, other)))
            self.note(f"link {one}-{other} is cut")

    def heal_link(self, one: str, other: str) -> None:
        if self.dead & {one, other}:
            return
        if frozenset((one, other)) in self.cut:
            self.cut.discard(frozenset((one, other)))
            self.note(f"link {one}-{other} works again")

    def find_newest_primary(self) -> "Target | None":
        """Return the running primary of the highest term."""
        leading = [t for t in self.targets.values() if t.is_primary and t.is_up]
        return max(leading, key=lambda t: t.term, default=None)

    def record_told(self, id_: int) -> None:
        """Record that a caller was told that a commit is kept."""
        commit = self.commits[id_]
        commit.told_s = self.now_s
        self.told_count += 1
        for effect in self.effects:
            if effect.term > commit.term and id_ not in effect.log:
                self._record_loss(commit, effect)
                return

    def record_effect(self, target: "Target") -> None:
        """Record a promotion and the told commits that it loses."""
        effect = Effect(
            self.now_s, target.name, target.term, frozenset(target.log)
        )
        self.effects.append(effect)
        for commit in self.commits.values():
            if commit.told_s is not None and commit.id not in effect.log:
                self._record_loss(commit, effect)

    def _record_loss(self, commit: Commit, effect: Effect) -> None:
        if commit.is_lost:
            return
        commit.is_lost = True
        when = "before" if commit.made_s <= effect.at_s else "AFTER"
        received = ", ".join(
            f"{name} {at_s - START_S:.3f}"
            for name, at_s in commit.received.items()
        )
        assert commit.told_s is not None
        self.losses.append(
            f"commit {commit.id} of term {commit.term} made at"
            f" {commit.target} {commit.made_s - START_S:.3f} ({when} the"
            f" effect), received by [{received}], told by {commit.host}"
            f" {commit.told_s - START_S:.3f}, missing at {effect.target},"
            f" primary of term {effect.term} from"
            f" {effect.at_s - START_S:.3f}"
        )


class Target:
    """A simulated target."""

    def __init__(self, world: World, name: str, address: str) -> None:
        self.name = name
        self.address = address
        self.world = world
        self.is_up = True
        self.is_primary = False
        self.has_stepped_down = False
        self.is_draining = False
        self.is_gone = False
        self.term = 1
        self.log_term = 1
        self.log: list[int] = []
        self.follows: tuple[str, int] | None = None
        self.paused_for = 0
        self.learns_at_s = 0.0
        self.starts = 0
        self.started_ms = world.next_started_ms
        world.next_started_ms += 1
        self._waiting: list[tuple[int, Callable[[bytes], None]]] = []
        self._reaches_new_since_s: float | None = None
        world.targets[name] = self
        world.loop.call_later(
            world.random.uniform(0.0, PUSH_INTERVAL_S), self._push_regularly
        )

    @property
    def position(self) -> model.Position:
        term = self.term if self.is_primary else self.log_term
        return model.Position(term, len(self.log))

    # Statements.

    def run_control(self, text: bytes) -> statements.Answer:
        """Run a control statement and return the status row."""
        word, _, rest = text.partition(b" ")
        if word == b"PAUSE" and not self.is_primary:
            term = int(rest)
            if term > self.term and term > self.paused_for:
                self.paused_for = term
                self.world.note(
                    f"{self.name} is paused for term {term} at {len(self.log)}"
                )
        elif word == b"RESUME" and self.paused_for:
            self.paused_for = 0
            self.world.note(f"{self.name} is resumed by an order")
        elif word == b"STEPDOWN" and self.is_primary and self.term < int(rest):
            self.step_down()
        role = b"primary" if self.is_primary else b"replica"
        row = b"ROW %b %d %d.%d %d 0 1 2\r\n" % (
            role,
            self.term,
            *self.position,
            self.paused_for,
        )
        return make_answer(row, None, self.encode_position())

    def encode_position(self) -> bytes:
        return b"%d.%d" % self.position

    def step_down(self) -> None:
        self.is_primary = False
        self.has_stepped_down = True
        self.log_term = self.term
        self.follows = None
        self._waiting.clear()
        self.world.note(f"{self.name} steps down at {len(self.log)}")

    def commit(self, id_: int, host: str, on_answer: Any) -> None:
        """Commit, and answer once a replica has received the commit."""
        if not self.is_primary:
            on_answer(make_answer(b"", _READ_ONLY, b"-"))
            return
        world = self.world
        world.commits[id_] = Commit(
            id_, host, self.name, self.term, world.now_s
        )
        self.log.append(id_)
        self._waiting.append((len(self.log), on_answer))
        self._push()

    # Replication.

    def _push_regularly(self) -> None:
        self.world.loop.call_later(PUSH_INTERVAL_S, self._push_regularly)
        if self.is_up and self.is_primary:
            self._push()
            self._check_replaced()

    def _push(self) -> None:
        number, starts, term = len(self.log), self.starts, self.term
        for other in list(self.world.targets.values()):
            if other is self or not other.is_up:
                continue

            def deliver(other: "Target" = other) -> None:
                if other.receive(self, term, number):
                    self.world.send(
                        other.name,
                        self.name,
                        lambda: self._handle_receipt(number, starts, term),
                    )

            self.world.send(self.name, other.name, deliver)

    def receive(self, primary: "Target", term: int, number: int) -> bool:
        """Receive the primary's log up to a number unless that is rejected."""
        if not self.is_up or self.is_primary or self.paused_for:
            return False
        if term < self.term:
            return False
        if term > self.term:
            if self.world.now_s < self.learns_at_s:
                return False
            self.term = term
            self.has_stepped_down = False
        if self.follows != (primary.name, term):
            self.follows = (primary.name, term)
            common = 0
            for mine, theirs in zip(self.log, primary.log, strict=False):
                if mine != theirs:
                    break
                common += 1
            del self.log[common:]
        self.log_term = term
        if number > len(self.log):
            added = primary.log[len(self.log) : number]
            for id_ in added:
                self.world.commits[id_].received.setdefault(
                    self.name, self.world.now_s
                )
            self.log += added
        return True

    def _handle_receipt(self, number: int, starts: int, term: int) -> None:
        """Answer the commits that a replica has received."""
        if not self.is_up or starts != self.starts or term != self.term:
            return
        if not self.is_primary:
            return
        position = self.encode_position()
        while self._waiting and self._waiting[0][0] <= number:
            _, on_answer = self._waiting.pop(0)
            on_answer(make_answer(b"", None, position))

    def _check_replaced(self) -> None:
        """Step down a second after a newer primary can be reached."""
        newest = self.world.find_newest_primary()
        now_s = self.world.now_s
        if newest is None or newest.term <= self.term:
            self._reaches_new_since_s = None
            return
        if frozenset((self.name, newest.name)) in self.world.cut:
            self._reaches_new_since_s = None
        elif self._reaches_new_since_s is None:
            self._reaches_new_since_s = now_s
        elif now_s - self._reaches_new_since_s > 1.0:
            self.step_down()
            self.has_stepped_down = False

    # Life.

    def crash(self) -> None:
        if self.is_up:
            self.is_up = False
            self._waiting.clear()
            self.world.note(f"{self.name} crashes")

    def restart(self, leads_again: bool) -> None:
        """Start again with the log, and receive again."""
        world = self.world
        if self.is_gone:
            return
        was_paused = self.paused_for
        self.is_up = True
        self.starts += 1
        self.started_ms = world.next_started_ms
        world.next_started_ms += 1
        self.paused_for = 0
        self.follows = None
        if any(effect.term > self.term for effect in world.effects):
            self.is_primary = False
        elif self.has_stepped_down and leads_again:
            self.is_primary = True
        self.has_stepped_down = False
        role = "primary" if self.is_primary else "replica"
        world.note(
            f"{self.name} restarts as {role} (was paused for {was_paused})"
        )

    def lead(self) -> None:
        """Take the lead with the log received so far."""
        world = self.world
        others = [t for t in world.targets.values() if t is not self]
        self.term = 1 + max(
            [t.term for t in world.targets.values()]
            + [e.term for e in world.effects]
        )
        self.is_primary = True
        self.has_stepped_down = False
        self.follows = None
        self.paused_for = 0
        world.note(
            f"{self.name} leads term {self.term} from now on, at"
            f" {len(self.log)}"
        )
        world.record_effect(self)
        for other in others:
            other.paused_for = 0
            other.learns_at_s = world.now_s + world.random.choice(
                (0.0, 0.3, 1.5)
            )


def make_answer(
    rows: bytes, code: statements.Code | None, position: bytes
) -> statements.Answer:
    state = statements.SessionState.IDLE
    return statements.Answer(rows, b"s", code, b"", state, position)


@dataclasses.dataclass
class ApiFaults:
    """How the promotion call misbehaves.

    Attributes:
        lost_answer: probability that an answer is lost.
        held_up: probability that a call arrives up to 3 s late.
        slow_effect: probability that a promotion takes up to 4 s.
        checks_fence: whether calls with a lower fencing token are rejected.
    """

    lost_answer: float = 0.05
    held_up: float = 0.0
    slow_effect: float = 0.0
    checks_fence: bool = False


class Platform:
    """The promotion call."""

    def __init__(self, world: World, faults: ApiFaults) -> None:
        self.world = world
        self.faults = faults
        self.highest_fence = 0
        self.on_accepted: list[Callable[[str], None]] = []

    async def call(self, request: http.Request, timeout_s: float) -> int:
        """Deliver a call and return the status of its answer.

        Raises:
            http.ResponseLost: no answer arrived in time.
        """
        world = self.world
        rng = world.random
        answer: Any = world.loop.create_future()
        delay_s = rng.uniform(0.002, 0.05)
        if rng.random() < self.faults.held_up:
            delay_s = rng.uniform(0.5, 3.0)
        is_lost = rng.random() < self.faults.lost_answer

        def arrive() -> None:
            status = self._handle(request)
            if not is_lost:
                world.loop.call_later(
                    0.005, lambda: answer.done() or answer.set_result(status)
                )

        world.loop.call_later(delay_s, arrive)
        world.loop.call_later(
            timeout_s,
            lambda: (
                answer.done()
                or answer.set_exception(http.ResponseLost("no answer"))
            ),
        )
        status: int = await answer
        return status

    def _handle(self, request: http.Request) -> int:
        world = self.world
        name = json.loads(request.body)["id"]
        host = request.headers["x-duty-holder"]
        fence = int(request.headers["x-fence-token"])
        target = world.targets.get(name)
        text = f"platform gets {host}'s call (fence {fence}) for {name}:"
        if self.faults.checks_fence and fence < self.highest_fence:
            world.note(f"{text} 409, fence")
            return 409
        self.highest_fence = max(fence, self.highest_fence)
        if target is None or not target.is_up:
            world.note(f"{text} 409, not running")
            return 409
        if target is world.find_newest_primary():
            world.note(f"{text} 200, leads already")
            return 200
        world.note(f"{text} 200")
        delay_s = world.random.uniform(0.2, 1.0)
        if world.random.random() < self.faults.slow_effect:
            delay_s = world.random.uniform(1.0, 4.0)
        world.loop.call_later(delay_s, lambda: self._take_effect(target))
        for listener in self.on_accepted:
            listener(name)
        return 200

    def _take_effect(self, target: Target) -> None:
        if not target.is_up:
            self.world.note(f"{target.name} is down and isn't promoted")
        elif target is not self.world.find_newest_primary():
            target.lead()


class Store:
    """The targets' entries and the lease, as the hosts see them."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.revision = 10
        self.entries: dict[str, model.TargetEntry] = {}
        self.lease: tuple[dict[str, Any], int] | None = None
        self.members: tuple[dict[str, Any], int] | None = None
        self.hosts: list[Any] = []
        self.cut_hosts: set[str] = set()
        self.watch_delays_s: dict[str, float] = {}
        self.generation = store_revisions.UNKNOWN_GENERATION
        self._copies: list[tuple[dict[str, Any], int]] = []

    async def call(self, host: str) -> None:
        """Wait for the store's answer to a host.

        Raises:
            store.StoreError: the host can't reach the store.
        """
        await self._answer(host, self.world.random.uniform(0.002, 0.02))

    async def call_record(self, host: str) -> None:
        """Wait for the store's answer to a call for the members' record.

        It draws no random number, so the seeds keep their runs.

        Raises:
            store.StoreError: the host can't reach the store.
        """
        await self._answer(host, 0.01)

    async def _answer(self, host: str, delay_s: float) -> None:
        await asyncio.sleep(delay_s)
        if host in self.cut_hosts:
            await asyncio.sleep(0.5)
            raise store_module.StoreError("the store is cut off")

    def record_members(self) -> None:
        """Record the listed targets, as hosts did that ran before."""
        self.write_members(member_records.format_record(self.entries))

    def write_members(self, spec: dict[str, Any]) -> None:
        """Write the record of the members."""
        self.revision += 1
        self.members = (spec, self.revision)
        self._copies.append(self.members)

    def restore(self) -> None:
        """Come back with the record before the last one.

        The targets have written their entries again, and the hosts list them.
        """
        self.generation += 1
        self.members = self._copies[-2:][0]
        self.world.note(
            f"the record is back: {list(self.members[0]['members'])}"
        )
        for name, entry in self.entries.items():
            revision = store_revisions.Revision(
                self.generation, entry.revision.number
            )
            self.entries[name] = entry._replace(revision=revision)
        for host in self.hosts:
            if host.is_alive and host.name not in self.cut_hosts:
                host.apply_return(self.generation)

    def publish(self, target: Target) -> None:
        """Write a target's entry and notify the hosts."""
        self.revision += 1
        entry = model.TargetEntry(
            target.name,
            store_revisions.Revision(self.generation, self.revision),
            GROUP,
            target.address,
            1,
            "dc",
            target.started_ms,
            1,
            target.is_draining,
            target.is_primary,
            4,
        )
        self.entries[target.name] = entry
        self._notify(lambda host: host.apply_entry(entry))

    def remove(self, name: str) -> None:
        """Remove a target's entry and notify the hosts."""
        if self.entries.pop(name, None) is not None:
            self._notify(lambda host: host.apply_removal(name))

    def _notify(self, apply: Callable[[Any], None]) -> None:
        for host in self.hosts:
            if host.name in self.cut_hosts:
                continue
            delay_s = self.watch_delays_s.get(host.name, 0.0)
            delay_s += self.world.random.uniform(0.005, 0.05)
            self.world.loop.call_later(delay_s, apply, host)

    def reconnect(self, host: Any) -> None:
        """End a host's cut; the host lists all entries."""
        if not host.is_alive:
            return
        self.cut_hosts.discard(host.name)
        self.world.note(f"{host.name} reaches the store again")
        host.apply_return(self.generation)
