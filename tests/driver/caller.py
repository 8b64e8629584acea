"""Callers that switch between proxies within one session."""

import itertools
from collections.abc import Sequence
from typing import Any

from knapweedtally.core import errors
from knapweedtally.core import model
from knapweedtally.core.admission import state as admission_state
from tests.driver import call as call_module
from tests.driver import network as network_module
from tests.driver import proxy as proxy_module
from tests.driver import response as response_module
from tests.driver import schedule as schedule_module
from tests.driver import table as table_module
from tests.history import model as history_model

MEAN_THINK_TIME_S = 0.1
MIN_RETRY_DELAY_S = 0.3
MAX_RETRIES = 6
PROXY_SWITCH_PROBABILITY = 0.3
# Weights of reads, writes, writes with an idempotency key and transactions.
REQUEST_WEIGHTS = ((5, 2, 2, 2), (30, 1, 1, 1))
MAX_AGES_MS: tuple[int | None, ...] = (None, 0, 1000, 5000)

Kind = admission_state.RequestKind
HistoryKind = history_model.Kind
Response = response_module.Response
ResponseCallback = call_module.ResponseCallback

COMMANDS = {
    Kind.READ: "read",
    Kind.WRITE: "write",
    Kind.BEGIN: "begin",
    Kind.STATEMENT: "statement",
    Kind.COMMIT: "commit",
    Kind.ROLLBACK: "rollback",
}


class Caller:
    """Client that runs one session, one request at a time.

    Attributes:
        process: the caller's process.
        is_active: whether it starts new requests.
        events: history of the run, to which it appends.
    """

    def __init__(
        self,
        process: schedule_module.Process,
        network: network_module.Network,
        proxies: Sequence[proxy_module.Proxy],
        groups: Sequence[str],
        events: list[history_model.Event],
        ids: "itertools.count[int]",
    ) -> None:
        """Start a session on a random proxy.

        Args:
            process: the caller's process.
            network: network between callers and proxies.
            proxies: proxies to choose from.
            groups: names of the groups that requests are for.
            events: history of the run, to which it appends.
            ids: counter of ids that are unique in the run.
        """
        self.process = process
        self.is_active = True
        self._weights = process.schedule.random.choice(REQUEST_WEIGHTS)
        self.events = events
        self._random = process.schedule.random
        self._network = network
        self._proxies = proxies
        self._groups = groups
        self._ids = ids
        self._positions: dict[str, model.Position] = {}
        self._connect()
        self._schedule_next_request()

    # Connection to a proxy.

    def _connect(self) -> None:
        """Connect to a random proxy, one that accepts callers if possible."""
        accepting = [proxy for proxy in self._proxies if proxy.is_accepting]
        self._proxy = self._random.choice(accepting or self._proxies)
        self._connection = next(self._ids)
        self._is_connection_closed = False

    def _mark_connection_closed(self, connection: int) -> None:
        """Record that the proxy closed the connection.

        A request in flight still waits for its response; the caller reconnects
        before the next one.
        """
        self._is_connection_closed = self._connection == connection

    def _switch_proxy(self) -> None:
        proxy, connection = self._proxy, self._connection
        self._network.send(
            self.process, proxy.process, lambda: proxy.end_session(connection)
        )
        self._connect()

    def _send_request(
        self,
        group: str,
        kind: Kind,
        on_response: ResponseCallback,
        **fields: Any,
    ) -> None:
        """Send one request and call ``on_response`` with its response."""
        connection = self._connection
        max_age_ms = fields.pop("max_age_ms", None)
        call = call_module.Call(
            self.process, self._network, self._proxy, on_response
        )
        call.send(
            table_module.Command(COMMANDS[kind], **fields),
            lambda: self._mark_connection_closed(connection),
            session=connection,
            caller=self.process.name,
            group=group,
            kind=kind,
            max_age_ms=max_age_ms,
            tables=frozenset({"entries"}),
            position=self._positions.get(group),
        )

    # Requests of the session.

    def _schedule_next_request(self) -> None:
        delay_s = MEAN_THINK_TIME_S * 2 * self._random.random()
        self.process.call_later(delay_s, self._start_request)

    def _start_request(self) -> None:
        if not self.is_active:
            return
        if self._is_connection_closed:
            self._connect()
        elif self._random.random() < PROXY_SWITCH_PROBABILITY:
            self._switch_proxy()
        action = self._random.choices(
            (
                self._read,
                self._write,
                self._write_with_key,
                self._run_transaction,
            ),
            self._weights,
        )[0]
        action(self._random.choice(self._groups))

    def _read(self, group: str) -> None:
        max_age_ms = self._random.choice(MAX_AGES_MS)
        scope = self._random.choice(("", self.process.name))
        # A request without a maximum age of its own has that of the bundle.
        invoked = self._record_request(
            group,
            HistoryKind.READ,
            scope=scope,
            max_age_s=None if max_age_ms is None else max_age_ms / 1000.0,
        )

        def on_response(response: Response | None) -> None:
            self._record_answer(invoked, response)
            self._finish_request(response)

        self._send_request(
            group,
            Kind.READ,
            on_response,
            marker=invoked.marker,
            scope=scope,
            max_age_ms=max_age_ms,
        )

    def _write(self, group: str) -> None:
        self._send_write(group, "", self._make_value(), MAX_RETRIES)

    def _write_with_key(self, group: str) -> None:
        key = f"k{next(self._ids)}"
        # Some callers don't retry, whatever the first response says.
        attempt = self._random.choice((0, 0, MAX_RETRIES))
        self._send_write(group, key, self._make_value(), attempt)

    def _send_write(
        self, group: str, key: str, value: str, attempt: int
    ) -> None:
        """Send a write, and retry it until it is done or retries run out."""
        invoked = self._record_request(
            group, HistoryKind.WRITE, key=key, values=(value,)
        )

        def on_response(response: Response | None) -> None:
            outcome = self._record_answer(invoked, response)
            if outcome is errors.Outcome.DONE or attempt >= MAX_RETRIES:
                self._finish_request(response)
                return
            self._switch_proxy()
            self.process.call_later(
                MIN_RETRY_DELAY_S * (1 + self._random.random()),
                lambda: self._send_write(group, key, value, attempt + 1),
            )

        self._send_request(
            group,
            Kind.WRITE,
            on_response,
            marker=invoked.marker,
            session=self.process.name,
            values=(value,),
            key=key,
        )

    def _run_transaction(self, group: str) -> None:
        """Append two rows in a transaction, and commit or roll it back."""
        values = (self._make_value(), self._make_value())
        end = Kind.COMMIT if self._random.random() < 0.85 else Kind.ROLLBACK
        invoked = self._record_request(
            group, HistoryKind.TRANSACTION, values=values
        )
        steps: list[tuple[Kind, tuple[str, ...]]] = [(Kind.BEGIN, ())]
        steps += [(Kind.STATEMENT, (value,)) for value in values]
        steps.append((end, ()))

        def run(index: int) -> None:
            kind, appended = steps[index]
            self._send_request(
                group,
                kind,
                lambda response: on_response(index, response),
                marker=invoked.marker,
                session=self.process.name,
                values=appended,
            )

        def on_response(index: int, response: Response | None) -> None:
            is_last = index == len(steps) - 1
            if not is_last and response_module.is_success(response):
                self.process.call_later(0.002, lambda: run(index + 1))
                return
            # None of its rows may persist unless a COMMIT was sent.
            is_commit = is_last and end is Kind.COMMIT
            self._record_answer(invoked, response, is_rolled_back=not is_commit)
            if not is_last:
                self._switch_proxy()
            self._finish_request(response)

        run(0)

    def _finish_request(self, response: Response | None) -> None:
        if response is None or response.error is not None:
            self._switch_proxy()
        self._schedule_next_request()

    # Events of the history.

    def _make_value(self) -> str:
        return f"v{next(self._ids)}"

    def _record_request(
        self, group: str, kind: HistoryKind, **fields: Any
    ) -> history_model.Invoked:
        request = next(self._ids)
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

    def _record_answer(
        self,
        invoked: history_model.Invoked,
        response: Response | None,
        is_rolled_back: bool = False,
    ) -> errors.Outcome:
        """Record a response and update the session's position from it."""
        answered = history_model.Answered(
            self.process.schedule.now,
            invoked.request,
            f"{self.process.name}#{self._connection}",
            response_module.get_outcome(response, is_rolled_back),
        )
        if response is not None:
            answered = answered._replace(host=response.host)
            answered = response_module.add_result(answered, response)
            if response.position is not None:
                known = self._positions.get(invoked.group, response.position)
                self._positions[invoked.group] = max(known, response.position)
        self.events.append(answered)
        self.process.schedule.add_trace_line(f"{answered}")
        return answered.outcome
