"""Deterministic simulation of proxies, instances and a platform from a seed.

Every message has a random delay, so messages can be reordered; ``loss_rate``
is the share that is dropped. Time is simulated.
"""

import functools
import heapq
import itertools
import random
from collections.abc import Callable
from typing import Any

from knapweedtally.core import effects
from knapweedtally.core import events
from knapweedtally.core import model
from knapweedtally.core import reducer
from knapweedtally.core import state as state_module
from standins.target import errors as target_errors
from standins.target import instance as instances

GROUP = "records"
PLATFORM = "platform"
# Expected version of an unconditional update, which only mutants use.
ANY_VERSION = -1
PLATFORM_TIMEOUT_S = 0.3
GOSSIP_INTERVAL_S = 0.25
WATCH_INTERVAL_S = 1.0
PULL_INTERVAL_S = 0.03
WRITE_INTERVAL_S = 0.05
BARRIER_POLL_S = 0.02


class World:
    """Run proxies against one group and record what happens to it.

    Attributes:
        loss_rate: share of messages lost.
        max_delay_s: largest delay of a message, in seconds.
        replication_lag_s: replication lag by replica, in seconds.
        dead: nodes that refuse connections.
        frozen: nodes that process nothing until they are unfrozen.
        partitions: pairs of nodes that can't reach each other.
        is_platform_down: whether the platform answers with errors.
        lost_answers: number of platform updates whose answer will be lost.
        object: version and value of the group's object.
        bundle_object: version and value of the platform's bundle.
        opened: instances that became primary, by term.
        faults: violated guarantees that were observed.
        acknowledged: term and id of each acknowledged write.
        acknowledged_at: time at which each write was acknowledged.
    """

    def __init__(
        self,
        seed: int,
        hosts: int = 6,
        targets: int = 3,
        loss_rate: float = 0.0,
    ) -> None:
        self.random = random.Random(seed)
        self.now = 0.0
        self.loss_rate = loss_rate
        self.max_delay_s = 0.003
        self.dead: set[str] = set()
        self.frozen: set[str] = set()
        self.partitions: set[frozenset[str]] = set()
        self.replication_lag_s: dict[str, float] = {}
        self.is_platform_down = False
        self.lost_answers = 0
        self.object: tuple[int, dict[str, Any]] = (0, {})
        self.bundle_object: tuple[int, dict[str, Any]] = (0, {})
        self.operations: dict[int, str] = {}
        self.opened: dict[int, list[str]] = {}
        self.faults: list[str] = []
        self.acknowledged: list[tuple[int, str]] = []
        self.acknowledged_at: list[float] = []
        self.effects: list[tuple[str, effects.Effect]] = []
        self.effect_hook: Callable[[str, effects.Effect], None] | None = None
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._backlog: list[tuple[str, Callable[[], None]]] = []
        self._count = itertools.count()
        self.targets = {
            f"t{number}": model.Target(
                f"t{number}", "127.0.0.1", 5000 + number, f"dc{number % 3}"
            )
            for number in range(targets)
        }
        self.bundle = model.Bundle(
            1,
            "",
            {GROUP: model.Group(GROUP, tuple(self.targets.values()))},
        )
        self.instances = {
            name: instances.Instance(name, self.targets)
            for name in self.targets
        }
        centres = {f"h{number}": f"dc{number % 3}" for number in range(hosts)}
        self.registers: dict[str, dict[tuple[str, str], model.Register]] = {}
        self.states: dict[str, state_module.ProxyState] = {}
        for host, centre in centres.items():
            self.registers[host] = {}
            identity = state_module.Identity(host, centre, 1)
            state = state_module.ProxyState(identity)
            state.directory.bundle = self.bundle
            state.membership.live = dict(centres)
            self.states[host] = state
            self.run_every(0.1, self._tick, host)
            self.run_every(GOSSIP_INTERVAL_S, self._gossip, host)
        for name in self.targets:
            self.run_every(PULL_INTERVAL_S, self._pull, name)
        self.run_every(WRITE_INTERVAL_S, self._write)
        self.run_every(WATCH_INTERVAL_S, self._watch)

    # Time and messages.

    def run_after(self, delay_s: float, function: Callable[[], None]) -> None:
        """Run a function after a delay."""
        entry = (self.now + delay_s, next(self._count), function)
        heapq.heappush(self._queue, entry)

    def run_every(
        self, interval_s: float, function: Callable[..., None], *args: Any
    ) -> None:
        """Run a function repeatedly at an interval."""

        def run() -> None:
            function(*args)
            self.run_after(interval_s, run)

        self.run_after(self.random.random() * interval_s, run)

    def run(self, seconds: float) -> None:
        """Advance simulated time and run the functions that are due."""
        end = self.now + seconds
        while self._queue and self._queue[0][0] <= end:
            self.now, _, function = heapq.heappop(self._queue)
            function()
        self.now = end

    def run_until(self, is_done: Callable[[], bool], limit_s: float) -> bool:
        """Advance time until a condition holds; return whether it does."""
        end = self.now + limit_s
        while not is_done():
            if self.now >= end:
                return False
            self.run(0.01)
        return True

    def is_up(self, node: str) -> bool:
        return node not in self.dead and node not in self.frozen

    def send(self, start: str, end: str, function: Callable[[], None]) -> None:
        """Deliver a message after a delay, unless it is lost."""
        if self.random.random() < self.loss_rate:
            return

        def deliver() -> None:
            if end in self.dead or frozenset((start, end)) in self.partitions:
                return
            self.run_on_node(end, function)

        self.run_after(
            0.0005 + self.random.random() * self.max_delay_s, deliver
        )

    def run_on_node(self, node: str, function: Callable[[], None]) -> None:
        """Run a function on a node, or queue it while the node is frozen."""
        if node in self.frozen:
            self._backlog.append((node, function))
        elif node not in self.dead:
            function()

    def unfreeze(self) -> None:
        """Unfreeze all nodes and run the functions queued for them."""
        self.frozen.clear()
        backlog, self._backlog = self._backlog, []
        for node, function in backlog:
            self.run_on_node(node, function)

    def request(
        self,
        host: str,
        node: str,
        serve: Callable[[], Any],
        on_answer: Callable[[Any], None],
        on_failure: Callable[[bool], None],
        timeout_s: float,
    ) -> None:
        """Call a node; exactly one of the two callbacks runs."""
        is_done = False

        def finish(function: Callable[[Any], None], value: Any) -> None:
            nonlocal is_done
            if not is_done:
                is_done = True
                function(value)

        def run() -> None:
            answer = serve()
            self.send(node, host, lambda: finish(on_answer, answer))

        if node in self.dead:
            self.run_after(0.001, lambda: finish(on_failure, True))
            return
        self.send(host, node, run)
        self.run_after(timeout_s, lambda: finish(on_failure, False))

    # Proxies.

    def submit(self, host: str, event: Any) -> None:
        """Submit an event to a proxy and run the resulting effects."""
        self.run_on_node(host, lambda: self._decide(host, event))

    def _decide(self, host: str, event: Any) -> None:
        moment = model.Moment(self.now, self.random.random())
        for effect in reducer.decide(self.states[host], moment, event):
            self.effects.append((host, effect))
            if self.effect_hook:
                self.effect_hook(host, effect)
            run = functools.partial(self.RUNNERS[type(effect)], self, host)
            self.run_on_node(host, functools.partial(run, effect))

    def _tick(self, host: str) -> None:
        self.submit(host, events.Ticked())

    def _set_timer(self, host: str, effect: effects.SetTimer) -> None:
        event = events.TimerFired(effect.key)
        self.run_after(effect.delay_s, lambda: self.submit(host, event))

    def _ignore_effect(self, host: str, effect: effects.Effect) -> None:
        pass

    def _publish(self, host: str, effect: effects.PublishRegister) -> None:
        register = effect.register
        self.registers[host][register.kind, register.name] = register
        for peer in self.states:
            if peer != host:
                self._send_register(host, peer, register)

    def _send_register(
        self, host: str, peer: str, register: model.Register
    ) -> None:
        self.send(host, peer, lambda: self._receive_register(peer, register))

    def _receive_register(self, host: str, register: model.Register) -> None:
        key = register.kind, register.name
        known = self.registers[host].get(key)
        if known is None or register.version > known.version:
            self.registers[host][key] = register
            self.submit(host, events.RegisterSeen(register))

    def _gossip(self, host: str) -> None:
        if not self.is_up(host):
            return
        peer = self.random.choice([name for name in self.states])
        for register in list(self.registers[host].values()):
            self._send_register(host, peer, register)

    # The platform.

    def _read(self, host: str, effect: effects.ReadObject) -> None:
        def answer(found: tuple[int, dict[str, Any]] | None) -> None:
            if found is None:
                fail(True)
                return
            event = events.ObjectSeen("group", GROUP, *found)
            self.submit(host, event)

        def fail(is_refused: bool) -> None:
            event = events.PlatformFailed(
                effect.operation, "group", GROUP, False
            )
            self.submit(host, event)

        def serve() -> tuple[int, dict[str, Any]] | None:
            return None if self.is_platform_down else self.object

        self.request(host, PLATFORM, serve, answer, fail, PLATFORM_TIMEOUT_S)

    def _fetch(self, host: str, effect: effects.FetchChanges) -> None:
        def answer(found: tuple[int, dict[str, Any]] | None) -> None:
            if found is None:
                fail(True)
                return
            if found[0]:
                event = events.ObjectSeen(effect.kind, "current", *found)
                self.submit(host, event)
            fetched = events.ChangesFetched(effect.operation, effect.kind)
            self.submit(host, fetched)

        def fail(is_refused: bool) -> None:
            event = events.PlatformFailed(
                effect.operation, effect.kind, "", False
            )
            self.submit(host, event)

        def serve() -> tuple[int, dict[str, Any]] | None:
            return None if self.is_platform_down else self.bundle_object

        self.request(host, PLATFORM, serve, answer, fail, PLATFORM_TIMEOUT_S)

    def _watch(self) -> None:
        """Send the object to one random host, as a platform watch would."""
        host = self.random.choice(sorted(self.states))
        found = self.object
        if self.is_platform_down or not found[0]:
            return
        event = events.ObjectSeen("group", GROUP, *found)
        self.send(PLATFORM, host, lambda: self.submit(host, event))

    def is_expected(self, version: int) -> bool:
        """Return whether an update's condition holds."""
        return version in (ANY_VERSION, self.object[0])

    def update_object(self, version: int, value: dict[str, Any]) -> bool:
        """Update the object if its version is the expected one."""
        if not self.is_expected(version):
            return False
        self.object = (self.object[0] + 1, dict(value))
        known = self.operations.setdefault(value["term"], value["operation"])
        if known != value["operation"]:
            self.faults.append(f"term {value['term']} has two operations")
        return True

    def _update(self, host: str, effect: effects.UpdateObject) -> None:
        def serve() -> tuple[str, int, dict[str, Any]]:
            if self.is_platform_down:
                return "down", 0, {}
            has_won = self.update_object(effect.expected_version, effect.value)
            if has_won and self.lost_answers:
                self.lost_answers -= 1
                return "lost", 0, {}
            return "updated" if has_won else "conflict", *self.object

        def fail(is_refused: bool) -> None:
            event = events.PlatformFailed(
                effect.operation, "group", GROUP, not is_refused
            )
            self.submit(host, event)

        def answer(result: tuple[str, int, dict[str, Any]]) -> None:
            kind, version, value = result
            if kind in ("down", "lost"):
                fail(kind == "down")
                return
            event_type = {
                "updated": events.ObjectUpdated,
                "conflict": events.ObjectConflicted,
            }[kind]
            self.submit(
                host,
                event_type(effect.operation, "group", GROUP, version, value),
            )

        self.request(host, PLATFORM, serve, answer, fail, PLATFORM_TIMEOUT_S)

    # The instances.

    def _probe(self, host: str, effect: effects.ProbeTarget) -> None:
        target = self.instances[effect.target]

        def serve() -> events.ProbeAnswered:
            report = model.TargetReport(
                target.id,
                target.term,
                target.applied,
                target.age_ms(self.now),
                target.is_primary,
            )
            return events.ProbeAnswered(
                report, target.primary, target.last_term, target.received, 1.0
            )

        self.request(
            host,
            target.id,
            serve,
            lambda event: self.submit(host, event),
            lambda is_refused: self.submit(
                host, events.ProbeFailed(target.id, is_refused)
            ),
            effect.timeout_s,
        )

    def _control(self, host: str, effect: effects.ControlTarget) -> None:
        target = self.instances[effect.target]

        def serve() -> events.ControlAnswered:
            answer = self._run_command(target, effect)
            return events.ControlAnswered(
                effect.operation, target.id, effect.command, *answer
            )

        failure = events.ControlFailed(
            effect.operation, target.id, effect.command
        )
        self.request(
            host,
            target.id,
            serve,
            lambda event: self.submit(host, event),
            lambda is_refused: self.submit(host, failure),
            effect.timeout_s,
        )

    def _run_command(
        self, target: instances.Instance, effect: effects.ControlTarget
    ) -> instances.ControlAnswer:
        term = effect.term
        if effect.command == "hold":
            return target.hold(term, effect.timeout_s * 1000, self.now)
        if effect.command == "follow":
            return target.follow(term, effect.primary)
        if effect.command == "install_term":
            self._check_operation(term, effect.operation)
            return target.install_term(term, effect.operation)
        was_primary = target.is_primary
        answer = target.promote(term, effect.operation)
        if target.is_primary and not was_primary:
            self._check_opened(target)
        return answer

    def _check_operation(self, term: int, operation: str) -> None:
        if self.operations.get(term) != operation:
            self.faults.append(f"{operation} fences in a term it did not begin")

    def _check_opened(self, target: instances.Instance) -> None:
        self.opened.setdefault(target.term, []).append(target.id)
        if len(set(self.opened[target.term])) > 1:
            self.faults.append(f"term {target.term} opened twice")
        fenced = [
            other
            for other in self.instances.values()
            if other.id in target.members and other.term >= target.term
        ]
        if len(fenced) * 2 <= len(target.members):
            self.faults.append(f"term {target.term} opened without a majority")
        held = {(entry.term, entry.statements) for entry in target.log}
        for term, write in self.acknowledged:
            # A late command may open a term that was already replaced; the
            # primary of that term can no longer confirm writes.
            if term < target.term and (term, (write,)) not in held:
                self.faults.append(f"term {target.term} lost write {write}")

    def _pull(self, name: str) -> None:
        replica = self.instances[name]
        if not self.is_up(name) or replica.role is not instances.Role.REPLICA:
            return
        primary = self.instances[replica.primary]
        sent_at = self.now
        request = replica.make_pull()

        def take(answer: Any) -> None:
            if not answer.is_accepted:
                return
            replica.receive(answer, sent_at)
            replica.mark_applied(replica.received)

        def serve() -> None:
            answer = primary.pull(request, self.now)
            delay_s = self.replication_lag_s.get(name, 0.0)
            self.run_after(
                delay_s,
                lambda: self.send(primary.id, name, lambda: take(answer)),
            )

        self.send(name, primary.id, serve)

    def _write(self) -> None:
        for name, target in self.instances.items():
            if not self.is_up(name):
                continue
            try:
                target.check_writable(self.now)
            except target_errors.TargetError:
                continue
            write: Any = f"w{next(self._count)}"
            term = target.term
            target.append((write,))
            self._confirm(target, term, write, target.start_barrier(self.now))

    def _confirm(
        self,
        target: instances.Instance,
        term: int,
        write: str,
        barrier: instances.Barrier,
    ) -> None:
        state = target.check_barrier(barrier)
        if state is instances.BarrierState.CONFIRMED and self.is_up(target.id):
            self.acknowledged.append((term, write))
            self.acknowledged_at.append(self.now)
        elif state is not instances.BarrierState.REPLACED:
            self.run_after(
                BARRIER_POLL_S,
                lambda: self._confirm(target, term, write, barrier),
            )

    # Queries and controls of the tests.

    @property
    def term(self) -> int:
        return int(self.object[1].get("term", 0))

    @property
    def primary(self) -> str:
        return str(self.object[1].get("primary", ""))

    def start(self) -> None:
        """Run until the group serves and its cooldown has passed."""
        assert self.run_until(lambda: len(self.acknowledged) > 5, 10.0)
        self.run(6.0)

    def is_serving(self) -> bool:
        """Return whether the newest term has a primary that confirms writes."""
        if self.object[1].get("phase") != "open":
            return False
        target = self.instances[self.primary]
        return (
            target.is_primary
            and target.term == self.term
            and self.is_up(target.id)
            and bool(self.acknowledged)
            and self.acknowledged[-1][0] == self.term
        )

    def is_whole(self) -> bool:
        """Return whether every live instance follows the serving primary."""
        return self.is_serving() and all(
            target.term == self.term and target.primary == self.primary
            for name, target in self.instances.items()
            if self.is_up(name)
        )

    def clear_faults(self) -> None:
        """End all faults except dead nodes."""
        self.loss_rate = 0.0
        self.max_delay_s = 0.003
        self.unfreeze()
        self.partitions.clear()
        self.replication_lag_s.clear()
        self.is_platform_down = False
        self.lost_answers = 0

    def partition(self, *nodes: str, others: Any = ()) -> None:
        """Partition nodes from others, or from all other nodes."""
        everything = {*self.states, *self.targets, PLATFORM}
        for node in nodes:
            for other in others or everything - set(nodes):
                self.partitions.add(frozenset((node, other)))

    def choices(self) -> list[str]:
        """Return the failover decisions of all hosts, oldest first."""
        found = [
            decision
            for state in self.states.values()
            for decision in state.explanations.ring.values()
        ]
        return [
            f"{item.at:.3f} {item.id} {item.subject}: {item.choice}"
            f" ({item.reason})"
            for item in sorted(found, key=lambda item: item.at)
        ]

    RUNNERS: dict[type, Callable[..., None]] = {
        effects.SetTimer: _set_timer,
        effects.WriteLog: _ignore_effect,
        effects.SetWatching: _ignore_effect,
        effects.PublishRegister: _publish,
        effects.ReadObject: _read,
        effects.FetchChanges: _fetch,
        effects.UpdateObject: _update,
        effects.ProbeTarget: _probe,
        effects.ControlTarget: _control,
    }
