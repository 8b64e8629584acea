"""Callers that roam between proxies with a session's position and keys."""

import itertools
from collections.abc import Sequence
from typing import Any

from knapweedtally.core import errors
from knapweedtally.core import model
from knapweedtally.core.admission import state as admission_state
from tests.driver import call as call_module
from tests.driver import delivery as delivery_module
from tests.driver import network as network_module
from tests.driver import proxy as proxy_module
from tests.driver import schedule as schedule_module
from tests.driver import table as table_module
from tests.history import model as history_model

THINK_S = 0.1
RETRY_S = 0.3
RETRY_LIMIT = 6
ROAM_SHARE = 0.3
# Shares of reads, writes, writes with a key, and transactions.
MIXES = ((5, 2, 2, 2), (30, 1, 1, 1))
AGES_MS: tuple[int | None, ...] = (None, 0, 1000, 5000)

Kind = admission_state.RequestKind
HistoryKind = history_model.Kind
Delivery = delivery_module.Delivery
Step = call_module.Step

COMMANDS = {
    Kind.READ: "read",
    Kind.WRITE: "write",
    Kind.BEGIN: "begin",
    Kind.STATEMENT: "statement",
    Kind.COMMIT: "commit",
    Kind.ROLLBACK: "rollback",
}


class Caller:
    """Run one session, one request at a time.

    Attributes:
        process: the caller's process.
        is_active: whether it begins new requests.
        events: events that it adds to the history.
    """

    def __init__(
        self,
        process: schedule_module.Process,
        network: network_module.Network,
        proxies: Sequence[proxy_module.Proxy],
        groups: Sequence[str],
        events: list[history_model.Event],
        numbers: "itertools.count[int]",
    ) -> None:
        """Start a session on some proxy.

        Args:
            process: the caller's process.
            network: carries messages.
            proxies: entry hosts to choose from.
            groups: groups to use.
            events: history to add to.
            numbers: gives numbers that are unique in the run.
        """
        self.process = process
        self.is_active = True
        self._weights = process.schedule.random.choice(MIXES)
        self.events = events
        self._random = process.schedule.random
        self._network = network
        self._proxies = proxies
        self._groups = groups
        self._numbers = numbers
        self._positions: dict[str, model.Position] = {}
        self._connect()
        self._think()

    # One connection.

    def _connect(self) -> None:
        """Move to a random proxy."""
        accepting = [proxy for proxy in self._proxies if proxy.is_accepting]
        self._proxy = self._random.choice(accepting or self._proxies)
        self._connection = next(self._numbers)
        self._is_ended = False

    def _move(self, connection: int) -> None:
        """Move on when the proxy has ended the connection.

        A request that is on its way meanwhile gets its answer first.
        """
        self._is_ended = self._connection == connection

    def _leave(self) -> None:
        proxy, connection = self._proxy, self._connection
        self._network.send(
            self.process, proxy.process, lambda: proxy.end_session(connection)
        )
        self._connect()

    def _ask(self, group: str, kind: Kind, step: Step, **fields: Any) -> None:
        """Send one request and call the step with its answer."""
        connection = self._connection
        max_age_ms = fields.pop("max_age_ms", None)
        call = call_module.Call(self.process, self._network, self._proxy, step)
        call.send(
            table_module.Command(COMMANDS[kind], **fields),
            lambda: self._move(connection),
            session=connection,
            caller=self.process.name,
            group=group,
            kind=kind,
            max_age_ms=max_age_ms,
            tables=frozenset({"entries"}),
            position=self._positions.get(group),
        )

    # The session.

    def _think(self) -> None:
        delay_s = THINK_S * 2 * self._random.random()
        self.process.call_later(delay_s, self._begin)

    def _begin(self) -> None:
        if not self.is_active:
            return
        if self._is_ended:
            self._connect()
        elif self._random.random() < ROAM_SHARE:
            self._leave()
        action = self._random.choices(
            (self._read, self._write, self._write_keyed, self._transact),
            self._weights,
        )[0]
        action(self._random.choice(self._groups))

    def _read(self, group: str) -> None:
        max_age_ms = self._random.choice(AGES_MS)
        scope = self._random.choice(("", self.process.name))
        # Without an age of its own a request has the bundle's.
        invoked = self._invoke(
            group,
            HistoryKind.READ,
            scope=scope,
            max_age_s=None if max_age_ms is None else max_age_ms / 1000.0,
        )

        def step(delivery: Delivery | None) -> None:
            self._answer(invoked, delivery)
            self._go_on(delivery)

        self._ask(
            group,
            Kind.READ,
            step,
            marker=invoked.marker,
            scope=scope,
            max_age_ms=max_age_ms,
        )

    def _write(self, group: str) -> None:
        self._send_write(group, "", self._make_value(), RETRY_LIMIT)

    def _write_keyed(self, group: str) -> None:
        key = f"k{next(self._numbers)}"
        # Some callers take the first answer for final.
        attempt = self._random.choice((0, 0, RETRY_LIMIT))
        self._send_write(group, key, self._make_value(), attempt)

    def _send_write(
        self, group: str, key: str, value: str, attempt: int
    ) -> None:
        """Write, and repeat a write with a key until it is done."""
        invoked = self._invoke(
            group, HistoryKind.WRITE, key=key, values=(value,)
        )

        def step(delivery: Delivery | None) -> None:
            outcome = self._answer(invoked, delivery)
            if outcome is errors.Outcome.DONE or attempt >= RETRY_LIMIT:
                self._go_on(delivery)
                return
            self._leave()
            self.process.call_later(
                RETRY_S * (1 + self._random.random()),
                lambda: self._send_write(group, key, value, attempt + 1),
            )

        self._ask(
            group,
            Kind.WRITE,
            step,
            marker=invoked.marker,
            session=self.process.name,
            values=(value,),
            key=key,
        )

    def _transact(self, group: str) -> None:
        """Append two rows in a transaction, or roll them back."""
        values = (self._make_value(), self._make_value())
        end = Kind.COMMIT if self._random.random() < 0.85 else Kind.ROLLBACK
        invoked = self._invoke(group, HistoryKind.TRANSACTION, values=values)
        steps: list[tuple[Kind, tuple[str, ...]]] = [(Kind.BEGIN, ())]
        steps += [(Kind.STATEMENT, (value,)) for value in values]
        steps.append((end, ()))

        def run(index: int) -> None:
            kind, appended = steps[index]
            self._ask(
                group,
                kind,
                lambda delivery: step(index, delivery),
                marker=invoked.marker,
                session=self.process.name,
                values=appended,
            )

        def step(index: int, delivery: Delivery | None) -> None:
            is_last = index == len(steps) - 1
            if not is_last and delivery_module.is_success(delivery):
                self.process.call_later(0.002, lambda: run(index + 1))
                return
            # Without a COMMIT that was sent, nothing may stay of it.
            is_commit = is_last and end is Kind.COMMIT
            self._answer(invoked, delivery, is_rolled_back=not is_commit)
            if not is_last:
                self._leave()
            self._go_on(delivery)

        run(0)

    def _go_on(self, delivery: Delivery | None) -> None:
        if delivery is None or delivery.error is not None:
            self._leave()
        self._think()

    # The history.

    def _make_value(self) -> str:
        return f"v{next(self._numbers)}"

    def _invoke(
        self, group: str, kind: HistoryKind, **fields: Any
    ) -> history_model.Invoked:
        request = next(self._numbers)
        invoked = history_model.Invoked(
            self.process.schedule.now,
            request,
            f"{self.process.name}#{self._connection}",
            self.process.name,
            group,
            kind,
            marker=f"m{request}",
            **fields,
        )
        self.events.append(invoked)
        self.process.schedule.add_trace_line(
            f"{self._proxy.process.name} {invoked}"
        )
        return invoked

    def _answer(
        self,
        invoked: history_model.Invoked,
        delivery: Delivery | None,
        is_rolled_back: bool = False,
    ) -> errors.Outcome:
        """Record an answer, and take over the position that came with it."""
        answered = history_model.Answered(
            self.process.schedule.now,
            invoked.request,
            f"{self.process.name}#{self._connection}",
            delivery_module.get_outcome(delivery, is_rolled_back),
        )
        if delivery is not None:
            answered = answered._replace(host=delivery.host)
            answered = delivery_module.add_result(answered, delivery)
            if delivery.position is not None:
                known = self._positions.get(invoked.group, delivery.position)
                self._positions[invoked.group] = max(known, delivery.position)
        self.events.append(answered)
        self.process.schedule.add_trace_line(f"{answered}")
        return answered.outcome
