"""One proxy: the core's reducer with simulated input and output."""

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
from tests.driver import links as links_module
from tests.driver import network as network_module
from tests.driver import peers as peers_module
from tests.driver import platform as platform_module
from tests.driver import platform_client as platform_client_module
from tests.driver import response as response_module
from tests.driver import schedule as schedule_module
from tests.driver import table as table_module
from tests.driver import target as target_module

TICK_INTERVAL_S = 0.1


Response = response_module.Response
SendResponse = Callable[[Response], None]


class PendingRequest(NamedTuple):
    """Request whose response a caller waits for.

    Attributes:
        command: command for a target.
        send_response: sends the response to the caller.
        session: id of the caller's connection.
    """

    command: table_module.Command
    send_response: SendResponse
    session: int


class Proxy:
    """Entry host that runs the core's reducer.

    Attributes:
        process: process that faults can kill, pause or isolate.
        state: state of the reducer; new after a restart.
        platform_client: client of the platform.
        is_accepting: whether it accepts new connections of callers.
        unfinished_requests: number of requests that were in flight when a
            planned stop ended the process.
        on_command: called with each command to a target, before it is sent.
    """

    def __init__(
        self,
        process: schedule_module.Process,
        network: network_module.Network,
        platform: platform_module.Platform,
        targets: dict[str, target_module.Target],
        peers: dict[str, peers_module.PeerLinks],
        configure: Callable[[state_module.ProxyState], None],
    ) -> None:
        """Start a proxy.

        Args:
            process: process that the proxy runs in.
            network: network between all processes.
            platform: the platform's store.
            targets: every target by id.
            peers: links of each proxy by name of its host.
            configure: sets the parts of the state that come from settings.
        """
        self.process = process
        self.unfinished_requests = 0
        self.on_command: Callable[[effects.ControlTarget], None] = (
            connection_module.ignore
        )
        self._schedule = process.schedule
        self._configure = configure
        self._pending_requests: dict[int, PendingRequest] = {}
        self._last_request = 0
        self._links = links_module.TargetLinks(
            process, network, targets, self.submit, self._get_command
        )
        self._peers = peers_module.PeerLinks(
            process, network, peers, self.submit
        )
        self.platform_client = platform_client_module.PlatformClient(
            process, platform, self.submit
        )
        self._start()

    # Process lifecycle.

    def kill(self) -> None:
        """Kill the process."""
        self.process.kill()
        self.is_accepting = False
        self._links.close_all()
        self._peers.close_all()
        self._pending_requests.clear()
        self._sessions.clear()

    def restart(self) -> None:
        """Start the process with a new state if it isn't running."""
        if not self.process.is_running:
            self.process.start()
            self._start()

    def drain(self) -> None:
        """Request a planned stop."""
        if self.process.is_running:
            self.submit(draining_events.DrainRequested("an operator"))

    def _start(self) -> None:
        identity = state_module.Identity(
            self.process.name, self.process.data_centre, self.process.generation
        )
        self.state = state_module.ProxyState(identity)
        self.is_accepting = True
        self._is_closing_idle_callers = False
        self._sessions: dict[int, schedule_module.Action] = {}
        self._events: collections.deque[Any] = collections.deque()
        self._is_handling_events = False
        self._links.results.clear()
        self._configure(self.state)
        self.platform_client.start()
        draw = self._schedule.random.random
        self.process.call_later(TICK_INTERVAL_S * draw(), self._tick)

    def _tick(self) -> None:
        self.process.call_later(TICK_INTERVAL_S, self._tick)
        self.submit(events.Ticked())

    def submit(self, event: Any) -> None:
        """Pass an event to the reducer and run its effects.

        An event submitted while effects run is queued.
        """
        self._events.append(event)
        if self._is_handling_events:
            return
        self._is_handling_events = True
        while self._events:
            draw = self._schedule.random.random()
            moment = model.Moment(self._schedule.now, draw)
            event = self._events.popleft()
            for effect in reducer.decide(self.state, moment, event):
                _EFFECT_HANDLERS[type(effect)](self, effect)
        self._is_handling_events = False

    # Requests of callers.

    def handle_request(
        self,
        command: table_module.Command,
        send_response: SendResponse,
        on_closed: schedule_module.Action,
        **fields: Any,
    ) -> None:
        """Submit a request that arrived from a caller.

        Args:
            command: command for a target.
            send_response: called with the response.
            on_closed: called when the proxy closes the connection.
            **fields: other fields of ``RequestArrived``.
        """
        session = fields["session"]
        if session not in self._sessions and not self.is_accepting:
            # The proxy closed the connection while the request was in flight.
            error = errors.ErrorKind.DRAINING
            send_response(Response(self.process.name, None, error=error))
            return
        self._sessions[session] = on_closed
        self._last_request += 1
        request = self._last_request
        self._pending_requests[request] = PendingRequest(
            command, send_response, session
        )
        self.submit(
            admission_events.RequestArrived(
                request=request, key=command.key, **fields
            )
        )

    def end_session(self, session: int) -> None:
        """Handle the end of a caller's connection."""
        self._sessions.pop(session, None)
        self.submit(admission_events.SessionEnded(session))
        self._close_idle_sessions()

    def _get_command(self, request: int) -> table_module.Command:
        return self._pending_requests[request].command

    def _deliver_answer(self, effect: effects.DeliverAnswer) -> None:
        pending = self._pending_requests.pop(effect.request)
        attempt = (effect.request, effect.attempt)
        # A missing result reaches the caller without the request's marker,
        # which the check of the history reports.
        target, answer = self._links.results.pop(attempt, _MISSING_RESULT)
        pending.send_response(
            Response(self.process.name, answer, target, effect.position)
        )
        self._close_idle_sessions()

    def _deliver_error(self, effect: effects.DeliverError) -> None:
        pending = self._pending_requests.pop(effect.request)
        pending.send_response(
            Response(self.process.name, None, error=effect.kind)
        )
        self._close_idle_sessions()

    def _stop_accepting(self, effect: effects.StopAccepting) -> None:
        self.is_accepting = False

    def _close_idle_callers(self, effect: effects.CloseIdleCallers) -> None:
        self._is_closing_idle_callers = True
        self._close_idle_sessions()

    def _close_idle_sessions(self) -> None:
        """Close idle connections during a planned stop."""
        if not self._is_closing_idle_callers:
            return
        busy = {pending.session for pending in self._pending_requests.values()}
        busy |= set(self.state.admission.transactions)
        for session in [item for item in self._sessions if item not in busy]:
            self._sessions.pop(session)()
            self.submit(admission_events.SessionEnded(session))
        if not self._sessions:
            self.submit(draining_events.CallersGone())

    def _stop_process(self, effect: effects.StopProcess) -> None:
        self.unfinished_requests += len(self._pending_requests)
        self._schedule.add_trace_line(f"{self.process.name} stops as planned")
        self.kill()

    # Other effects.

    def _publish_register(self, effect: effects.PublishRegister) -> None:
        self.submit(membership_events.RegisterPublished(effect.register))

    def _control_target(self, effect: effects.ControlTarget) -> None:
        self._schedule.add_trace_line(f"{self.process.name} {effect}")
        self.on_command(effect)
        self._links.control_target(effect)

    def _set_timer(self, effect: effects.SetTimer) -> None:
        event = events.TimerFired(effect.key)
        self.process.call_later(effect.delay_s, lambda: self.submit(event))

    def _write_log(self, effect: effects.WriteLog) -> None:
        self._schedule.add_trace_line(
            f"{self.process.name} {effect.part}: {effect.message} "
            f"{effect.values}"
        )


_MISSING_RESULT = (
    "",
    connection_module.Result(
        instance_module.Report(0, 0, 0.0, is_primary=False), (), ""
    ),
)

# An effect without an entry here ends the run with a KeyError.
_EFFECT_HANDLERS: dict[type, Callable[[Proxy, Any], None]] = {
    effects.SetTimer: Proxy._set_timer,
    effects.ReadObject: lambda proxy, effect: proxy.platform_client.read_object(
        effect
    ),
    effects.FetchChanges: lambda proxy, effect: (
        proxy.platform_client.fetch_changes(effect)
    ),
    effects.UpdateObject: lambda proxy, effect: (
        proxy.platform_client.update_object(effect)
    ),
    effects.SetWatching: lambda proxy, effect: (
        proxy.platform_client.set_watching(effect)
    ),
    effects.PublishRegister: Proxy._publish_register,
    effects.OpenLink: lambda proxy, effect: proxy._peers.open_link(effect),
    effects.CloseLink: lambda proxy, effect: proxy._peers.close_link(effect),
    effects.SendToPeer: lambda proxy, effect: proxy._peers.send_message(effect),
    effects.ProbeTarget: lambda proxy, effect: proxy._links.probe_target(
        effect
    ),
    effects.ControlTarget: Proxy._control_target,
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
    effects.AbortTransactions: lambda proxy, effect: None,
    effects.StopProcess: Proxy._stop_process,
    effects.WriteLog: Proxy._write_log,
}
