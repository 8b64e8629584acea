"""A proxy's connections to targets, and its commands to them."""

import math
from collections.abc import Callable

from knapweedtally.core import effects
from knapweedtally.core import events
from knapweedtally.core import model
from knapweedtally.core.writes import events as writes_events
from standins.target import instance as instance_module
from tests.driver import connection as connection_module
from tests.driver import network as network_module
from tests.driver import schedule as schedule_module
from tests.driver import table as table_module
from tests.driver import target as target_module

CONNECT_S = 0.010
CONNECT_TIMEOUT_S = 1.0

Attempt = tuple[int, int]


class Link:
    """Hold one connection as the proxy sees it.

    Answers carry no id: an answer belongs to whatever was sent last, as on a
    connection without pipelining.

    Attributes:
        target: the target.
        remote: the target's side, or None before the proxy knows of it.
        accepted: the target's side, as soon as it has accepted.
        expected: request and attempt whose answer is due, or None.
        is_open: whether the proxy holds it.
    """

    def __init__(self, target: target_module.Target) -> None:
        """Describe a connection that isn't open yet."""
        self.target = target
        self.remote: connection_module.Connection | None = None
        self.accepted: connection_module.Connection | None = None
        self.expected: Attempt | None = None
        self.is_open = True


class TargetLinks:
    """Run statements and commands of one proxy on targets.

    Attributes:
        results: target and its answer by request and attempt.
    """

    def __init__(
        self,
        process: schedule_module.Process,
        network: network_module.Network,
        targets: dict[str, target_module.Target],
        submit: Callable[[object], None],
        get_command: Callable[[int], table_module.Command],
    ) -> None:
        """Start without connections.

        Args:
            process: the proxy's process.
            network: carries messages to targets.
            targets: every target by id.
            submit: takes an event for the reducer.
            get_command: returns what a request asks of a target.
        """
        self.results: dict[Attempt, tuple[str, connection_module.Result]] = {}
        self._process = process
        self._network = network
        self._targets = targets
        self._submit = submit
        self._get_command = get_command
        self._leased: dict[int, Link] = {}
        self._idle: dict[str, list[Link]] = {}

    # Statements.

    def run_statement(self, effect: effects.RunStatement) -> None:
        """Send a statement on its lease's connection."""
        attempt = (effect.request, effect.attempt)
        command = self._get_command(effect.request)._replace(
            needs_barrier=effect.needs_barrier, key=effect.key
        )
        link = self._leased.get(effect.lease)
        if link is None:
            link = self._take_idle(effect.target)
            self._leased[effect.lease] = link
        link.expected = attempt
        if link.remote is None:
            self._connect(link, command)
        else:
            self._send(link, command)

    def release_lease(self, effect: effects.ReleaseLease) -> None:
        """Return a connection to the pool, or close it."""
        link = self._leased.pop(effect.lease, None)
        if link is None:
            return
        if effect.is_reusable and link.is_open and link.remote:
            self._idle.setdefault(link.target.id, []).append(link)
        else:
            self._close(link)

    def cancel_statement(self, effect: effects.CancelStatement) -> None:
        """Do nothing: a target may always ignore a cancellation."""

    def reset(self) -> None:
        """Drop all connections as the end of the process does."""
        for idle in self._idle.values():
            for link in idle:
                self._close(link)
        for link in self._leased.values():
            self._close(link)
        self._idle.clear()
        self._leased.clear()

    def _take_idle(self, target: str) -> Link:
        idle = self._idle.get(target, [])
        while idle:
            link = idle.pop()
            # A reset that has arrived is seen before the next use.
            if link.is_open:
                return link
        return Link(self._targets[target])

    def _connect(self, link: Link, command: table_module.Command) -> None:
        target = link.target

        def accept() -> None:
            if not link.is_open:
                return
            remote = link.accepted = target.accept()
            self._network.send(
                target.process, self._process, lambda: opened(remote)
            )

        def opened(remote: connection_module.Connection | None) -> None:
            if remote is None or not link.is_open:
                self._fail(link, was_sent=False)
                return
            if link.remote is None:
                link.remote = remote
                self._send(link, command)

        def give_up() -> None:
            if link.remote is None:
                self._fail(link, was_sent=False)

        if self._is_refused(target):
            self._process.call_later(CONNECT_S, give_up)
            return
        self._network.send(
            self._process,
            target.process,
            lambda: target.process.call_later(CONNECT_S, accept),
        )
        self._process.call_later(CONNECT_TIMEOUT_S, give_up)

    def _is_refused(self, target: target_module.Target) -> bool:
        """Tell whether the target's host refuses, as nothing listens there."""
        return not target.process.is_running and not self._network.is_blocked(
            self._process, target.process
        )

    def _send(self, link: Link, command: table_module.Command) -> None:
        remote = link.remote
        if remote is None:
            raise AssertionError("no connection to send on")

        def arrive() -> None:
            if remote.is_open:
                link.target.run(remote, command, answer)
            else:
                self._network.send(
                    link.target.process, self._process, self._make_reset(link)
                )

        def answer(result: connection_module.Result) -> None:
            self._network.send(
                link.target.process,
                self._process,
                lambda: self._receive(link, result),
            )

        remote.on_reset = self._make_reset(link)
        self._network.send(self._process, link.target.process, arrive)

    def _make_reset(self, link: Link) -> schedule_module.Action:
        return lambda: self._fail(link, was_sent=True)

    def _receive(self, link: Link, result: connection_module.Result) -> None:
        # An answer on a connection that was given up is still reported, as by
        # an edge that learns of both at once.
        if link.expected is None:
            return
        attempt, link.expected = link.expected, None
        self.results[attempt] = (link.target.id, result)
        confirmed = result.confirmed and model.Position(*result.confirmed)
        self._submit(
            writes_events.AttemptAnswered(
                *attempt,
                report=make_report(link.target.id, result.report),
                confirmed=confirmed,
                sqlstate=result.sqlstate,
                is_open=result.is_open,
                is_key_reused=result.is_key_reused,
            )
        )

    def _fail(self, link: Link, was_sent: bool) -> None:
        if not link.is_open:
            return
        attempt, link.expected = link.expected, None
        self._close(link)
        if attempt is not None:
            self._submit(writes_events.AttemptFailed(*attempt, was_sent))

    def _close(self, link: Link) -> None:
        link.is_open = False
        remote = link.accepted
        if remote is not None:
            # However long a cut lasts, keepalives end the connection.
            self._network.send(
                self._process,
                link.target.process,
                lambda: link.target.close(remote),
                max_retransmissions=math.inf,
            )

    # Commands.

    def probe(self, effect: effects.ProbeTarget) -> None:
        """Ask a target for its status."""
        target = self._targets[effect.target]
        sent_at = self._process.schedule.now

        def answer() -> object:
            instance = target.instance
            now = self._process.schedule.now
            return events.ProbeAnswered(
                make_report(target.id, instance.report(now))._replace(
                    term=instance.term
                ),
                instance.primary,
                instance.last_term,
                instance.received,
                (now - sent_at) * 1000.0,
            )

        refused = events.ProbeFailed(target.id, True)
        lost = events.ProbeFailed(target.id, False)
        self._call(target, answer, refused, lost, effect.timeout_s)

    def control(self, effect: effects.ControlTarget) -> None:
        """Send a control command to a target."""
        target = self._targets[effect.target]
        subject = (effect.operation, effect.target, effect.command)

        def answer() -> object:
            found = target.control(effect)
            return events.ControlAnswered(*subject, *found)

        lost = events.ControlFailed(*subject)
        self._call(target, answer, lost, lost, effect.timeout_s)

    def _call(
        self,
        target: target_module.Target,
        answer: Callable[[], object],
        refused: object,
        lost: object,
        timeout_s: float,
    ) -> None:
        is_over = False

        def finish(event: object) -> None:
            nonlocal is_over
            if not is_over:
                is_over = True
                self._submit(event)

        def serve() -> None:
            event = answer()
            self._network.send(
                target.process, self._process, lambda: finish(event)
            )

        if self._is_refused(target):
            self._process.call_later(0.002, lambda: finish(refused))
            return
        self._network.send(self._process, target.process, serve)
        self._process.call_later(timeout_s, lambda: finish(lost))


def make_report(
    target: str, report: instance_module.Report
) -> model.TargetReport:
    """Return a target's report in the core's terms."""
    return model.TargetReport(
        target, report.term, report.offset, report.age_ms, report.is_primary
    )
