"""Simulated platform: a store with conditional updates, and its faults."""

from collections.abc import Callable
from typing import NamedTuple

from tests.driver import network as network_module
from tests.driver import schedule as schedule_module

CALL_TIMEOUT_S = 1.0
SERVICE_TIME_S = 0.003


class StoredObject(NamedTuple):
    """Object of the store; version 0 means that it doesn't exist."""

    kind: str
    name: str
    version: int
    value: dict[str, object]


class Reply(NamedTuple):
    """Reply to a call.

    Attributes:
        stored: the object after the call; None if the call returns none.
        is_conflict: whether the version of an update didn't match.
    """

    stored: StoredObject | None
    is_conflict: bool = False


ReplyCallback = Callable[[Reply], None]
FailureCallback = Callable[[bool], None]


class Platform:
    """Store of objects that processes call over the network.

    Attributes:
        process: process that faults can isolate.
        is_down: whether every call is refused.
        delay_s: maximum additional delay of a call, and of its reply.
        lost_answers: number of next replies to lose, other than conflicts.
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
        """End all faults of the platform."""
        self.is_down = False
        self.delay_s = 0.0
        self.lost_answers = 0

    def get_object(self, kind: str, name: str) -> StoredObject:
        """Return an object, with version 0 if it doesn't exist."""
        missing = StoredObject(kind, name, 0, {})
        return self.objects.get((kind, name), missing)

    def update_object(self, update: StoredObject) -> Reply:
        """Store an object if it has the expected version.

        Args:
            update: the object with its expected version and its new value.
        """
        key = (update.kind, update.name)
        current = self.get_object(*key)
        if current.version != update.version:
            return Reply(current, is_conflict=True)
        self.objects[key] = update._replace(version=update.version + 1)
        self._schedule.add_trace_line(f"platform stores {self.objects[key]}")
        return Reply(self.objects[key])

    def call(
        self,
        client: schedule_module.Process,
        run: Callable[[], Reply],
        on_reply: ReplyCallback,
        on_failure: FailureCallback,
    ) -> None:
        """Make a call from a client.

        Args:
            client: process that makes the call.
            run: reads or updates the store and returns the reply.
            on_reply: called with the reply.
            on_failure: called instead on a failure, with whether the call may
                have taken effect.
        """
        is_finished = False

        def finish(action: schedule_module.Action) -> None:
            nonlocal is_finished
            if not is_finished:
                is_finished = True
                action()

        def serve() -> None:
            if self.is_down:
                self._answer(client, lambda: finish(lambda: on_failure(False)))
                return
            reply = run()
            if self.lost_answers and not reply.is_conflict:
                self.lost_answers -= 1
                self._answer(client, lambda: finish(lambda: on_failure(True)))
                return
            self._answer(client, lambda: finish(lambda: on_reply(reply)))

        def arrive() -> None:
            delay_s = (
                SERVICE_TIME_S + self.delay_s * self._schedule.random.random()
            )
            self.process.call_later(delay_s, serve)

        self._network.send(client, self.process, arrive)
        client.call_later(
            CALL_TIMEOUT_S, lambda: finish(lambda: on_failure(True))
        )

    def _answer(
        self, client: schedule_module.Process, action: schedule_module.Action
    ) -> None:
        delay_s = self.delay_s * self._schedule.random.random()
        self._schedule.call_later(
            delay_s, lambda: self._network.send(self.process, client, action)
        )
