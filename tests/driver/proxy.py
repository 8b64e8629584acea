"""One proxy: the core's reducer with fakes in place of its edges."""

import collections
from collections.abc import Callable
from typing import Any
from typing import NamedTuple

from knapweedtally.core import effects
from knapweedtally.core import errors
from knapweedtally.core import events
from knapweedtally.core import model
from knapweedtally.core import reducer
from knapweedtally.core import state as state_module
from knapweedtally.core.admission import events as admission_events
from knapweedtally.core.draining import events as draining_events
from knapweedtally.core.membership import events as membership_events
from standins.target import instance as instance_module
from tests.driver import connection as connection_module
from tests.driver import delivery as delivery_module
from tests.driver import links as links_module
from tests.driver import network as network_module
from tests.driver import objects as objects_module
from tests.driver import peers as peers_module
from tests.driver import platform as platform_module
from tests.driver import schedule as schedule_module
from tests.driver import table as table_module
from tests.driver import target as target_module

TICK_S = 0.1


Delivery = delivery_module.Delivery
Deliver = Callable[[Delivery], None]


class Job(NamedTuple):
    """Hold a request that a caller waits for.

    Attributes:
        command: what it asks of a target.
        deliver: takes the answer to the caller.
        session: the caller's connection.
    """

    command: table_module.Command
    deliver: Deliver
    session: int


class Proxy:
    """Run the reducer of one entry host.

    Attributes:
        process: the process that a fault can kill, pause or cut off.
        state: state of the reducer; empty after a restart.
        objects: calls to the platform.
        is_accepting: whether new callers can connect.
        cut_off: requests in flight when a planned stop ended.
    """

    def __init__(
        self,
        process: schedule_module.Process,
        network: network_module.Network,
        platform: platform_module.Platform,
        targets: dict[str, target_module.Target],
        peers: dict[str, peers_module.PeerLinks],
        prepare: Callable[[state_module.ProxyState], None],
    ) -> None:
        """Start a proxy.

        Args:
            process: its process.
            network: carries messages.
            platform: the platform's store.
            targets: every target by id.
            peers: links of all proxies.
            prepare: fills in what a proxy's settings give.
        """
        self.process = process
        self.cut_off = 0
        self._schedule = process.schedule
        self._prepare = prepare
        self._jobs: dict[int, Job] = {}
        self._last_request = 0
        self._links = links_module.TargetLinks(
            process, network, targets, self.submit, self._get_command
        )
        self._peers = peers_module.PeerLinks(
            process, network, peers, self.submit
        )
        self.objects = objects_module.PlatformObjects(
            process, platform, self.submit
        )
        self._start()

    # Life of the process.

    def kill(self) -> None:
        """End the process."""
        self.process.kill()
        self.is_accepting = False
        self._links.reset()
        self._peers.reset()
        self._jobs.clear()
        self._sessions.clear()

    def restart(self) -> None:
        """Start with an empty state."""
        if not self.process.is_running:
            self.process.start()
            self._start()

    def drain(self) -> None:
        """Ask for a planned stop."""
        if self.process.is_running:
            self.submit(draining_events.DrainRequested("an operator"))

    def _start(self) -> None:
        identity = state_module.Identity(
            self.process.name, self.process.data_centre, self.process.generation
        )
        self.state = state_module.ProxyState(identity)
        self.is_accepting = True
        self._is_closing = False
        self._sessions: dict[int, schedule_module.Action] = {}
        self._events: collections.deque[Any] = collections.deque()
        self._is_deciding = False
        self._links.results.clear()
        self._prepare(self.state)
        self.objects.start()
        draw = self._schedule.random.random
        self.process.call_later(TICK_S * draw(), self._tick)

    def _tick(self) -> None:
        self.process.call_later(TICK_S, self._tick)
        self.submit(events.Ticked())

    def submit(self, event: Any) -> None:
        """Give an event to the reducer and run its effects.

        An event that comes while effects run waits for its turn.
        """
        self._events.append(event)
        if self._is_deciding:
            return
        self._is_deciding = True
        while self._events:
            draw = self._schedule.random.random()
            moment = model.Moment(self._schedule.now, draw)
            event = self._events.popleft()
            for effect in reducer.decide(self.state, moment, event):
                _METHODS[type(effect)](self, effect)
        self._is_deciding = False

    # Callers.

    def request(
        self,
        command: table_module.Command,
        deliver: Deliver,
        on_closed: schedule_module.Action,
        **fields: Any,
    ) -> None:
        """Take a caller's request; ``fields`` are those of the event.

        Args:
            command: what the request asks of a target.
            deliver: takes the answer.
            on_closed: told when the proxy ends the connection.
            **fields: fields of ``RequestArrived``.
        """
        session = fields["session"]
        if session not in self._sessions and not self.is_accepting:
            # The connection was ended while the request was on its way.
            error = errors.ErrorKind.DRAINING
            deliver(Delivery(self.process.name, None, error=error))
            return
        self._sessions[session] = on_closed
        self._last_request += 1
        request = self._last_request
        self._jobs[request] = Job(command, deliver, session)
        self.submit(
            admission_events.RequestArrived(
                request=request, key=command.key, **fields
            )
        )

    def end_session(self, session: int) -> None:
        """Take the end of a caller's connection."""
        self._sessions.pop(session, None)
        self.submit(admission_events.SessionEnded(session))
        self._close_idle()

    def _get_command(self, request: int) -> table_module.Command:
        return self._jobs[request].command

    def _deliver_answer(self, effect: effects.DeliverAnswer) -> None:
        job = self._jobs.pop(effect.request)
        attempt = (effect.request, effect.attempt)
        # An answer that isn't there reaches the caller without its marker.
        target, answer = self._links.results.pop(attempt, _NO_RESULT)
        job.deliver(
            Delivery(self.process.name, answer, target, effect.position)
        )
        self._close_idle()

    def _deliver_error(self, effect: effects.DeliverError) -> None:
        job = self._jobs.pop(effect.request)
        job.deliver(Delivery(self.process.name, None, error=effect.kind))
        self._close_idle()

    def _stop_accepting(self, effect: effects.StopAccepting) -> None:
        self.is_accepting = False

    def _close_idle_callers(self, effect: effects.CloseIdleCallers) -> None:
        self._is_closing = True
        self._close_idle()

    def _close_idle(self) -> None:
        """End idle connections during a planned stop."""
        if not self._is_closing:
            return
        busy = {job.session for job in self._jobs.values()}
        busy |= set(self.state.admission.transactions)
        for session in [item for item in self._sessions if item not in busy]:
            self._sessions.pop(session)()
            self.submit(admission_events.SessionEnded(session))
        if not self._sessions:
            self.submit(draining_events.CallersGone())

    def _stop_process(self, effect: effects.StopProcess) -> None:
        self.cut_off += len(self._jobs)
        self._schedule.add_trace_line(f"{self.process.name} stops as planned")
        self.kill()

    # Everything else.

    def _publish(self, effect: effects.PublishRegister) -> None:
        self.submit(membership_events.RegisterPublished(effect.register))

    def _control(self, effect: effects.ControlTarget) -> None:
        self._schedule.add_trace_line(f"{self.process.name} {effect}")
        self._links.control(effect)

    def _set_timer(self, effect: effects.SetTimer) -> None:
        event = events.TimerFired(effect.key)
        self.process.call_later(effect.delay_s, lambda: self.submit(event))

    def _write_log(self, effect: effects.WriteLog) -> None:
        self._schedule.add_trace_line(
            f"{self.process.name} {effect.part}: {effect.message} "
            f"{effect.values}"
        )


_NO_RESULT = (
    "",
    connection_module.Result(
        instance_module.Report(0, 0, 0.0, is_primary=False), (), ""
    ),
)

# An effect without an entry here ends the run with a KeyError.
_METHODS: dict[type, Callable[[Proxy, Any], None]] = {
    effects.SetTimer: Proxy._set_timer,
    effects.ReadObject: lambda proxy, effect: proxy.objects.read_object(effect),
    effects.UpdateObject: lambda proxy, effect: proxy.objects.update_object(
        effect
    ),
    effects.SetWatching: lambda proxy, effect: proxy.objects.set_watching(
        effect
    ),
    effects.PublishRegister: Proxy._publish,
    effects.OpenLink: lambda proxy, effect: proxy._peers.open_link(effect),
    effects.CloseLink: lambda proxy, effect: proxy._peers.close_link(effect),
    effects.SendToPeer: lambda proxy, effect: proxy._peers.send(effect),
    effects.ProbeTarget: lambda proxy, effect: proxy._links.probe(effect),
    effects.ControlTarget: Proxy._control,
    effects.RunStatement: lambda proxy, effect: proxy._links.run_statement(
        effect
    ),
    effects.ReleaseLease: lambda proxy, effect: proxy._links.release_lease(
        effect
    ),
    effects.CancelStatement: lambda proxy, effect: (
        proxy._links.cancel_statement(effect)
    ),
    effects.DeliverAnswer: Proxy._deliver_answer,
    effects.DeliverError: Proxy._deliver_error,
    effects.StopAccepting: Proxy._stop_accepting,
    effects.CloseIdleCallers: Proxy._close_idle_callers,
    effects.StopProcess: Proxy._stop_process,
    effects.WriteLog: Proxy._write_log,
}
