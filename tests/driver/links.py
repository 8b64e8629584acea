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

AttemptId = tuple[int, int]


class Link:
    """A proxy's side of a connection to a target.

    Results carry no id: a result belongs to the command that was sent last, as
    on a connection without pipelining.

    Attributes:
        target: target that it connects to.
        remote: the target's side, or None until the proxy learns of it.
        accepted: the target's side as soon as the target has accepted it.
        expected: request and attempt that wait for a result, or None.
        is_open: whether the connection is open at the proxy.
    """

    def __init__(self, target: target_module.Target) -> None:
        """Create a link that isn't connected yet."""
        self.target = target
        self.remote: connection_module.Connection | None = None
        self.accepted: connection_module.Connection | None = None
        self.expected: AttemptId | None = None
        self.is_open = True


class TargetLinks:
    """Client that runs one proxy's statements and commands on targets.

    Attributes:
        results: id of the target and its result, by request and attempt.
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
            network: network between the proxy and the targets.
            targets: every target by id.
            submit: submits an event to the reducer.
            get_command: returns the command of a request.
        """
        self.results: dict[AttemptId, tuple[str, connection_module.Result]] = {}
        self._process = process
        self._network = network
        self._targets = targets
        self._submit = submit
        self._get_command = get_command
        self._leased: dict[int, Link] = {}
        self._idle: dict[str, list[Link]] = {}

    # Statements.

    def run_statement(self, effect: effects.RunStatement) -> None:
        """Send a statement on the connection of its lease."""
        attempt = (effect.request, effect.attempt)
        command = self._get_command(effect.request)._replace(
            needs_barrier=effect.needs_barrier, key=effect.key
        )
        link = self._leased.get(effect.lease)
        if link is None:
            link = self._pop_idle_link(effect.target)
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
        """Do nothing, as a target may ignore any cancellation."""

    def close_all(self) -> None:
        """Close all connections, as the end of the process does."""
        for idle in self._idle.values():
            for link in idle:
                self._close(link)
        for link in self._leased.values():
            self._close(link)
        self._idle.clear()
        self._leased.clear()

    def _pop_idle_link(self, target: str) -> Link:
        idle = self._idle.get(target, [])
        while idle:
            link = idle.pop()
            # A reset that has arrived closed the link.
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
                target.process, self._process, lambda: handle_accepted(remote)
            )

        def handle_accepted(
            remote: connection_module.Connection | None,
        ) -> None:
            if remote is None or not link.is_open:
                self._handle_failure(link, was_sent=False)
                return
            if link.remote is None:
                link.remote = remote
                self._send(link, command)

        def fail_unconnected() -> None:
            if link.remote is None:
                self._handle_failure(link, was_sent=False)

        if self._refuses_connections(target):
            self._process.call_later(CONNECT_S, fail_unconnected)
            return
        self._network.send(
            self._process,
            target.process,
            lambda: target.process.call_later(CONNECT_S, accept),
        )
        self._process.call_later(CONNECT_TIMEOUT_S, fail_unconnected)

    def _refuses_connections(self, target: target_module.Target) -> bool:
        """Return whether the host refuses, as no process listens there."""
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
                    link.target.process,
                    self._process,
                    self._make_reset_handler(link),
                )

        def answer(result: connection_module.Result) -> None:
            self._network.send(
                link.target.process,
                self._process,
                lambda: self._handle_result(link, result),
            )

        remote.on_reset = self._make_reset_handler(link)
        self._network.send(self._process, link.target.process, arrive)

    def _make_reset_handler(self, link: Link) -> schedule_module.Action:
        return lambda: self._handle_failure(link, was_sent=True)

    def _handle_result(
        self, link: Link, result: connection_module.Result
    ) -> None:
        # A result on a closed connection is still reported, as a real adapter
        # may learn of the result and of the close at once.
        if link.expected is None:
            return
        attempt, link.expected = link.expected, None
        self.results[attempt] = (link.target.id, result)
        confirmed = result.confirmed and model.Position(*result.confirmed)
        self._submit(
            writes_events.AttemptAnswered(
                *attempt,
                report=convert_report(link.target.id, result.report),
                confirmed=confirmed,
                sqlstate=result.sqlstate,
                is_open=result.is_open,
                is_key_reused=result.is_key_reused,
            )
        )

    def _handle_failure(self, link: Link, was_sent: bool) -> None:
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
            # Keepalives end the connection however long the network is blocked.
            self._network.send(
                self._process,
                link.target.process,
                lambda: link.target.close(remote),
                max_retransmissions=math.inf,
            )

    # Commands.

    def probe_target(self, effect: effects.ProbeTarget) -> None:
        """Request the status of a target."""
        target = self._targets[effect.target]
        sent_at = self._process.schedule.now

        def answer() -> object:
            instance = target.instance
            now = self._process.schedule.now
            return events.ProbeAnswered(
                convert_report(target.id, instance.report(now))._replace(
                    term=instance.term
                ),
                instance.primary,
                instance.last_term,
                instance.received,
                (now - sent_at) * 1000.0,
            )

        refused = events.ProbeFailed(target.id, True)
        lost = events.ProbeFailed(target.id, False)
        self._call_target(target, answer, refused, lost, effect.timeout_s)

    def control_target(self, effect: effects.ControlTarget) -> None:
        """Send a control command to a target."""
        target = self._targets[effect.target]
        subject = (effect.operation, effect.target, effect.command)

        def answer() -> object:
            found = target.run_control(effect)
            return events.ControlAnswered(*subject, *found)

        lost = events.ControlFailed(*subject)
        self._call_target(target, answer, lost, lost, effect.timeout_s)

    def _call_target(
        self,
        target: target_module.Target,
        answer: Callable[[], object],
        refused: object,
        lost: object,
        timeout_s: float,
    ) -> None:
        is_finished = False

        def finish(event: object) -> None:
            nonlocal is_finished
            if not is_finished:
                is_finished = True
                self._submit(event)

        def serve() -> None:
            event = answer()
            self._network.send_answer(
                target.process, self._process, lambda: finish(event)
            )

        if self._refuses_connections(target):
            self._process.call_later(0.002, lambda: finish(refused))
            return
        self._network.send(self._process, target.process, serve)
        self._process.call_later(timeout_s, lambda: finish(lost))


def convert_report(
    target: str, report: instance_module.Report
) -> model.TargetReport:
    """Return a target's report as the core's type."""
    return model.TargetReport(
        target, report.term, report.offset, report.age_ms, report.is_primary
    )
