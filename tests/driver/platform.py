"""The platform's store: conditional updates, outages, lost answers."""

from collections.abc import Callable
from typing import NamedTuple

from tests.driver import network as network_module
from tests.driver import schedule as schedule_module

CALL_TIMEOUT_S = 1.0
SERVICE_S = 0.003


class StoredObject(NamedTuple):
    """Hold one object of the store; version 0 stands for a missing one."""

    kind: str
    name: str
    version: int
    value: dict[str, object]


class Reply(NamedTuple):
    """Answer a call.

    Attributes:
        stored: the object afterwards; None when the call was refused.
        is_conflict: whether a conditional update lost.
    """

    stored: StoredObject | None
    is_conflict: bool = False


Receive = Callable[[Reply], None]
Fail = Callable[[bool], None]


class Platform:
    """Serve objects over the network.

    Attributes:
        process: the process that a fault can pause or cut off.
        is_down: whether every call is refused.
        delay_s: longest added time before a call is run, and of its answer.
        lost_answers: number of coming updates whose answer is lost.
        objects: objects by kind and name.
    """

    def __init__(
        self,
        schedule: schedule_module.Schedule,
        network: network_module.Network,
    ) -> None:
        """Start with an empty store."""
        self.process = schedule_module.Process(schedule, "platform", "platform")
        self.is_down = False
        self.delay_s = 0.0
        self.lost_answers = 0
        self.objects: dict[tuple[str, str], StoredObject] = {}
        self._schedule = schedule
        self._network = network

    def heal(self) -> None:
        """Serve without faults."""
        self.is_down = False
        self.delay_s = 0.0
        self.lost_answers = 0

    def get(self, kind: str, name: str) -> StoredObject:
        """Return an object, of version 0 when it is missing."""
        missing = StoredObject(kind, name, 0, {})
        return self.objects.get((kind, name), missing)

    def put(self, wanted: StoredObject) -> Reply:
        """Store an object if the version is the expected one, given as such."""
        key = (wanted.kind, wanted.name)
        found = self.get(*key)
        if found.version != wanted.version:
            return Reply(found, is_conflict=True)
        self.objects[key] = wanted._replace(version=wanted.version + 1)
        self._schedule.add_trace_line(f"platform stores {self.objects[key]}")
        return Reply(self.objects[key])

    def call(
        self,
        client: schedule_module.Process,
        run: Callable[[], Reply],
        receive: Receive,
        fail: Fail,
    ) -> None:
        """Make a call from a client.

        Args:
            client: the calling process.
            run: reads or changes the store.
            receive: gets the reply.
            fail: gets whether the call may have taken effect.
        """
        is_over = False

        def finish(action: schedule_module.Action) -> None:
            nonlocal is_over
            if not is_over:
                is_over = True
                action()

        def serve() -> None:
            if self.is_down:
                self._answer(client, lambda: finish(lambda: fail(False)))
                return
            reply = run()
            if self.lost_answers and not reply.is_conflict:
                self.lost_answers -= 1
                self._answer(client, lambda: finish(lambda: fail(True)))
                return
            self._answer(client, lambda: finish(lambda: receive(reply)))

        def arrive() -> None:
            delay_s = SERVICE_S + self.delay_s * self._schedule.random.random()
            self.process.call_later(delay_s, serve)

        self._network.send(client, self.process, arrive)
        client.call_later(CALL_TIMEOUT_S, lambda: finish(lambda: fail(True)))

    def _answer(
        self, client: schedule_module.Process, action: schedule_module.Action
    ) -> None:
        delay_s = self.delay_s * self._schedule.random.random()
        self._schedule.call_later(
            delay_s, lambda: self._network.send(self.process, client, action)
        )
