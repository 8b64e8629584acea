"""One proxy: the core's reducer with fakes in place of its edges."""

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
from standins.target import instance as instance_module
from tests.driver import links as links_module
from tests.driver import network as network_module
from tests.driver import platform as platform_module
from tests.driver import schedule as schedule_module
from tests.driver import table as table_module
from tests.driver import target as target_module

TICK_S = 0.1
POLL_S = 0.1
EXCHANGE_S = 1.0


class Delivery(NamedTuple):
    """Give a caller the answer to its request.

    Attributes:
        host: entry host that answers.
        result: the target's answer, or None.
        target: target that gave it, or empty.
        position: session position, or None if unchanged.
        error: kind of the error, or None.
    """

    host: str
    result: target_module.Result | None
    target: str = ""
    position: model.Position | None = None
    error: errors.ErrorKind | None = None


Deliver = Callable[[Delivery], None]


class Job(NamedTuple):
    """Hold a request that a caller waits for.

    Attributes:
        command: what it asks of a target.
        deliver: takes the answer to the caller.
    """

    command: table_module.Command
    deliver: Deliver


class Proxy:
    """Run the reducer of one entry host.

    Attributes:
        process: the process that a fault can kill, pause or cut off.
        state: state of the reducer; empty after a restart.
        peers: the other proxies.
        is_watching: whether it watches the platform's objects.
    """

    def __init__(
        self,
        process: schedule_module.Process,
        network: network_module.Network,
        platform: platform_module.Platform,
        targets: dict[str, target_module.Target],
        prepare: Callable[[state_module.ProxyState], None],
    ) -> None:
        """Start a proxy.

        Args:
            process: its process.
            network: carries messages.
            platform: the platform's store.
            targets: every target by id.
            prepare: fills in what a proxy's settings give.
        """
        self.process = process
        self.peers: list[Proxy] = []
        self.is_watching = True
        self._schedule = process.schedule
        self._network = network
        self._platform = platform
        self._prepare = prepare
        self._jobs: dict[int, Job] = {}
        self._last_request = 0
        self._links = links_module.TargetLinks(
            process, network, targets, self.submit, self._get_command
        )
        self._start()

    # Life of the process.

    def kill(self) -> None:
        """End the process."""
        self.process.kill()
        self._links.reset()
        self._jobs.clear()

    def restart(self) -> None:
        """Start with an empty state."""
        if not self.process.is_running:
            self.process.start()
            self._start()

    def _start(self) -> None:
        identity = state_module.Identity(
            self.process.name, self.process.data_centre, self.process.generation
        )
        self.state = state_module.ProxyState(identity)
        self._registers: dict[tuple[str, str], model.Register] = {}
        self._seen: dict[tuple[str, str], int] = {}
        self._links.results.clear()
        self._prepare(self.state)
        draw = self._schedule.random.random
        self.process.call_later(TICK_S * draw(), self._tick)
        self.process.call_later(POLL_S * draw(), self._poll)
        self.process.call_later(EXCHANGE_S * draw(), self._exchange)

    def _tick(self) -> None:
        self.process.call_later(TICK_S, self._tick)
        self.submit(events.Ticked())

    def submit(self, event: Any) -> None:
        """Give an event to the reducer and run its effects."""
        moment = model.Moment(
            self._schedule.now, self._schedule.random.random()
        )
        for effect in reducer.decide(self.state, moment, event):
            _METHODS[type(effect)](self, effect)

    # Callers.

    def request(
        self,
        command: table_module.Command,
        deliver: Deliver,
        **fields: Any,
    ) -> None:
        """Take a caller's request; ``fields`` are those of the event."""
        self._last_request += 1
        request = self._last_request
        self._jobs[request] = Job(command, deliver)
        self.submit(
            admission_events.RequestArrived(
                request=request, key=command.key, **fields
            )
        )

    def end_session(self, session: int) -> None:
        """Take the end of a caller's connection."""
        self.submit(admission_events.SessionEnded(session))

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

    def _deliver_error(self, effect: effects.DeliverError) -> None:
        job = self._jobs.pop(effect.request)
        job.deliver(Delivery(self.process.name, None, error=effect.kind))

    # Platform.

    def _read_object(self, effect: effects.ReadObject) -> None:
        key = (effect.kind, effect.name)

        def run() -> platform_module.Reply:
            return platform_module.Reply(self._platform.get(*key))

        def receive(reply: platform_module.Reply) -> None:
            if reply.stored is not None:
                self.submit(events.ObjectSeen(*reply.stored))

        def fail(may_have_run: bool) -> None:
            self.submit(events.PlatformFailed(effect.operation, *key, False))

        self._platform.call(self.process, run, receive, fail)

    def _update_object(self, effect: effects.UpdateObject) -> None:
        wanted = platform_module.StoredObject(
            effect.kind, effect.name, effect.expected_version, effect.value
        )

        def receive(reply: platform_module.Reply) -> None:
            kind = events.ObjectUpdated
            if reply.is_conflict:
                kind = events.ObjectConflicted
            if reply.stored is not None:
                self.submit(kind(effect.operation, *reply.stored))

        def fail(may_have_run: bool) -> None:
            self.submit(
                events.PlatformFailed(
                    effect.operation, effect.kind, effect.name, may_have_run
                )
            )

        self._platform.call(
            self.process, lambda: self._platform.put(wanted), receive, fail
        )

    def _poll(self) -> None:
        """Ask for changed objects, in place of a waiting watch."""
        if not self.is_watching:
            self.process.call_later(POLL_S, self._poll)
            return
        changed: list[platform_module.StoredObject] = []

        def run() -> platform_module.Reply:
            changed.extend(self._platform.objects.values())
            return platform_module.Reply(None)

        def receive(reply: platform_module.Reply) -> None:
            self.process.call_later(POLL_S, self._poll)
            for stored in changed:
                key = (stored.kind, stored.name)
                if self._seen.get(key, 0) < stored.version:
                    self._seen[key] = stored.version
                    self.submit(events.ObjectSeen(*stored))

        def fail(may_have_run: bool) -> None:
            self.process.call_later(POLL_S, self._poll)

        self._platform.call(self.process, run, receive, fail)

    def _set_watching(self, effect: effects.SetWatching) -> None:
        self.is_watching = effect.is_watching

    # Peers.

    def _publish(self, effect: effects.PublishRegister) -> None:
        self._store(effect.register)

    def _store(self, register: model.Register) -> bool:
        key = (register.kind, register.name)
        known = self._registers.get(key)
        if known is not None and known.version >= register.version:
            return False
        self._registers[key] = register
        for peer in self.peers:
            self._send_register(peer, register)
        return True

    def _send_register(self, peer: "Proxy", register: model.Register) -> None:
        def arrive() -> None:
            if peer._store(register):
                peer.submit(events.RegisterSeen(register))

        self._network.send(self.process, peer.process, arrive)

    def _exchange(self) -> None:
        self.process.call_later(EXCHANGE_S, self._exchange)
        if self.peers:
            peer = self._schedule.random.choice(self.peers)
            for register in list(self._registers.values()):
                self._send_register(peer, register)

    # Targets, timers and logs.

    def _run_statement(self, effect: effects.RunStatement) -> None:
        self._links.run_statement(effect)

    def _release_lease(self, effect: effects.ReleaseLease) -> None:
        self._links.release_lease(effect)

    def _cancel_statement(self, effect: effects.CancelStatement) -> None:
        self._links.cancel_statement(effect)

    def _probe(self, effect: effects.ProbeTarget) -> None:
        self._links.probe(effect)

    def _control(self, effect: effects.ControlTarget) -> None:
        self._schedule.note(f"{self.process.name} {effect}")
        self._links.control(effect)

    def _set_timer(self, effect: effects.SetTimer) -> None:
        event = events.TimerFired(effect.key)
        self.process.call_later(effect.delay_s, lambda: self.submit(event))

    def _write_log(self, effect: effects.WriteLog) -> None:
        self._schedule.note(
            f"{self.process.name} {effect.part}: {effect.message} "
            f"{effect.values}"
        )


_NO_RESULT = (
    "",
    target_module.Result(
        instance_module.Report(0, 0, 0.0, is_primary=False), (), ""
    ),
)

# An effect without a method here ends the run with a KeyError.
_METHODS: dict[type, Callable[[Proxy, Any], None]] = {
    effects.SetTimer: Proxy._set_timer,
    effects.ReadObject: Proxy._read_object,
    effects.UpdateObject: Proxy._update_object,
    effects.PublishRegister: Proxy._publish,
    effects.SetWatching: Proxy._set_watching,
    effects.ProbeTarget: Proxy._probe,
    effects.ControlTarget: Proxy._control,
    effects.RunStatement: Proxy._run_statement,
    effects.ReleaseLease: Proxy._release_lease,
    effects.CancelStatement: Proxy._cancel_statement,
    effects.DeliverAnswer: Proxy._deliver_answer,
    effects.DeliverError: Proxy._deliver_error,
    effects.WriteLog: Proxy._write_log,
}
