"""Pacing of the statements that this host sends to targets directly."""

import asyncio
import functools
from collections.abc import Callable
from collections.abc import Collection
from typing import Any
from typing import Protocol

from knapweedtally.core.groups import model
from knapweedtally.core.groups import pace_sharing
from knapweedtally.core.groups import pacing
from knapweedtally.core.groups import statements
from knapweedtally.entry.common import clock
from knapweedtally.entry.common import logs
from knapweedtally.entry.common import supervision
from knapweedtally.entry.pools import line_connections
from knapweedtally.platform import line_protocol

# Kind of the messages that carry a target's figure.
MESSAGE_KIND = "pace"

# Shortest time between two messages about a target, and the number of hosts
# that one of them goes to, in turn. Several dozen hosts may hold connections.
SEND_INTERVAL_S = 0.25
MAX_RECEIVERS = 8

# Shortest time between two log lines about a target.
LOG_INTERVAL_S = 0.5

# Messages that arrive this soon after a suspension of this host may have waited
# in its socket, so that their age isn't known.
DISTRUST_S = 0.25

# A tick that is this late means that this host was suspended.
SUSPENSION_S = 0.5

# Targets beyond this number are not remembered from messages.
MAX_HOSTS_PER_TARGET = 256

_Code = statements.Code
_Result = pacing.Result

# Errors that say something about the target. All others concern the statement,
# the caller or the place, and their time says nothing.
_RESULTS = {
    None: _Result.OK,
    _Code.BUSY: _Result.REFUSED,
    _Code.FAILED: _Result.FAILED,
    _Code.UNKNOWN_OUTCOME: _Result.FAILED,
    _Code.TIMED_OUT: _Result.TIMED_OUT,
}

# Statements that take none of the target's slots, so that the time of their
# answers says nothing. A begin counts as in flight, because a statement of its
# transaction follows at once and can't be held back.
_BEGINS = (line_protocol.BEGIN, line_protocol.BEGIN_READ)


class Peers(Protocol):
    """Exchange extension messages with other hosts."""

    def add_listener(
        self, kind: str, listener: Callable[[str, Any, float], None]
    ) -> None:
        """Call a listener for each message of a kind."""

    def send_extension(self, host: str, kind: str, payload: Any) -> bool:
        """Send a message that may be lost."""


def classify(outcome: line_connections.Outcome) -> pacing.Result:
    """Return what the end of a statement says about its target."""
    if outcome.answer is not None:
        return _RESULTS.get(outcome.answer.code, _Result.NEUTRAL)
    return _Result.TIMED_OUT if outcome.is_timeout else _Result.LOST


class TargetPacer:
    """Limit this host's concurrent statements to one target.

    Attributes:
        target: id of the target.
        life: start time of the target, by which its lives differ.
        pace: state of the limit.
        holders: other hosts that have connections to the target.
        figures: their figures by name of the host.
        on_room: called when statements that were held back may be sent.
        is_telling: whether the other holders have to learn the figure.
    """

    def __init__(self, host: str, target: str, life: int, slots: int) -> None:
        """Begin with the slots of a target against which nothing is known."""
        self.target = target
        self.life = life
        self.pace = pacing.Pace(slots)
        self.holders: tuple[str, ...] = ()
        self.figures: dict[str, pace_sharing.Figure] = {}
        self.on_room: Callable[[], None] = _do_nothing
        self.is_telling = False
        self._host = host
        self._why: pacing.Change | None = None
        self._logged_phase = pacing.Phase.STEADY
        self._next_log_s = self._next_send_s = 0.0
        self._sent_measured_s = float("-inf")
        self._receiver_index = 0
        self._contradicted: set[str] = set()
        self._is_held_back = False
        self._limit = self.pace.limit

    @property
    def limit(self) -> int:
        """Return the limit for the statements of all hosts together."""
        return self._limit

    @property
    def is_below_limit(self) -> bool:
        """Return whether fewer statements run than this host's part."""
        return self.pace.in_flight < self.pace.share

    def describe(self) -> dict[str, Any]:
        """Return the limit and how much of it this host uses."""
        return {
            "limit": self._limit,
            "share": self.pace.share,
            "in_flight": self.pace.in_flight,
            "phase": self.pace.phase.value,
        }

    def has_room(self) -> bool:
        """Return whether another statement may be sent now.

        If not, ``on_room`` is called once one may.
        """
        self._is_held_back |= not self.is_below_limit
        return self.is_below_limit

    def handle_recovered(self) -> None:
        """Begin a slow start."""
        now_s = clock.get_time_s()
        self.figures.clear()
        self._apply(pacing.recover(self.pace, now_s), now_s)

    def measure(
        self,
        id_: bytes,
        text: bytes,
        on_end: line_connections.OutcomeCallback | None,
    ) -> line_connections.OutcomeCallback | None:
        """Count a statement that is sent on a direct connection.

        Args:
            id_: id of the statement; those of a host itself aren't counted.
            text: text of the statement.
            on_end: called with its outcome, or None.

        Returns:
            What to call with the outcome instead.
        """
        if id_ == line_protocol.HOST_STATEMENT_ID:
            return on_end
        _, statement_text = line_protocol.split_required_position(text)
        if statement_text == line_protocol.ROLLBACK:
            return on_end
        pacing.record_sent(self.pace)
        return functools.partial(
            self._handle_outcome, on_end, statement_text in _BEGINS
        )

    def _handle_outcome(
        self,
        on_end: line_connections.OutcomeCallback | None,
        is_begin: bool,
        outcome: line_connections.Outcome,
    ) -> None:
        supervision.contain("pacing", self._record_outcome, is_begin, outcome)
        if on_end is not None:
            on_end(outcome)

    def _record_outcome(
        self, is_begin: bool, outcome: line_connections.Outcome
    ) -> None:
        now_s = clock.get_time_s()
        result = classify(outcome)
        if is_begin and result is _Result.OK:
            result = _Result.NEUTRAL
        change = pacing.record_result(self.pace, result, outcome.asked_s, now_s)
        self._apply(change, now_s)

    def tick(
        self, now_s: float, entry: model.TargetEntry, is_primary: bool
    ) -> None:
        """Apply the target's entry and role, and let old figures expire."""
        self.life = entry.started_ms
        change = pacing.set_bounds(self.pace, entry.slots, is_primary, now_s)
        self._apply(change or pacing.tick(self.pace, now_s), now_s)
        for host, figure in tuple(self.figures.items()):
            if not pace_sharing.is_usable(figure, self.life, now_s):
                del self.figures[host]

    def receive(
        self, host: str, figure: pace_sharing.Figure, now_s: float
    ) -> None:
        """Use another host's figure."""
        if not pace_sharing.is_usable(figure, self.life, now_s):
            return
        if len(self.figures) >= MAX_HOSTS_PER_TARGET and (
            host not in self.figures
        ):
            return
        self.figures[host] = figure
        if pace_sharing.is_contradicted(self.pace, figure, now_s):
            self._contradicted.add(host)
        change = pace_sharing.merge_figure(self.pace, figure, self.life, now_s)
        self._apply(change, now_s)

    def _apply(self, change: pacing.Change | None, now_s: float) -> None:
        """Update this host's part of the limit after an event."""
        if change is not None:
            self._why = change
            self.is_telling = True
        self._limit, self.pace.share = pace_sharing.find_allowance(
            self.pace, self._host, self.life, self.figures, now_s
        )
        if self._is_held_back and self.is_below_limit:
            self._is_held_back = False
            # The connection of this answer isn't idle before its callback
            # returns.
            asyncio.get_running_loop().call_soon(self._call_on_room)

    def _call_on_room(self) -> None:
        supervision.contain("pacing", self.on_room)

    def log_change(self, log: logs.Log, now_s: float) -> None:
        """Log a change of the phase, at most twice a second."""
        phase = self.pace.phase
        if phase is self._logged_phase or now_s < self._next_log_s:
            return
        self._next_log_s = now_s + LOG_INTERVAL_S
        self._logged_phase = phase
        log.write(
            "pace_changed",
            target=self.target,
            limit=self._limit,
            phase=phase.value,
            why=self._why.value if self._why else "",
        )

    def send_figure(self, peers: Peers, now_s: float) -> None:
        """Tell the other holders the figure while the target is paced."""
        pace = self.pace
        has_news = pace.measured_s > self._sent_measured_s and (
            self._limit < pace.slots
        )
        is_telling = self.is_telling or has_news
        if now_s < self._next_send_s or not (is_telling or self._contradicted):
            return
        self._next_send_s = now_s + SEND_INTERVAL_S
        receivers = sorted(self._contradicted)
        if is_telling:
            receivers += self._choose_receivers()
        self._contradicted.clear()
        self.is_telling = False
        self._sent_measured_s = pace.measured_s
        payload = pace_sharing.encode_figure(
            self.target, pace, self.life, now_s
        )
        for host in dict.fromkeys(receivers[:MAX_RECEIVERS]):
            peers.send_extension(host, MESSAGE_KIND, payload)

    def _choose_receivers(self) -> list[str]:
        """Return the holders whose turn it is."""
        count = min(MAX_RECEIVERS, len(self.holders))
        first, self._receiver_index = (
            self._receiver_index,
            self._receiver_index + count,
        )
        return [
            self.holders[(first + i) % len(self.holders)] for i in range(count)
        ]


def _do_nothing() -> None:
    """Stand in until a pool wants to know when there is room."""


class Pacers:
    """The pacers of all targets of this host."""

    def __init__(self, host: str, peers: Peers, log: logs.Log) -> None:
        """Create no pacers yet, and listen for other hosts' figures."""
        self._host = host
        self._peers = peers
        self._log = log
        self._pacers: dict[str, TargetPacer] = {}
        self._last_tick_s = clock.get_time_s()
        self._distrusted_until_s = 0.0
        peers.add_listener(MESSAGE_KIND, self._receive)

    def add(
        self, target: str, life: int, slots: int, is_new: bool
    ) -> TargetPacer:
        """Return the pacer of a target to which this host connects.

        Args:
            target: id of the target.
            life: start time of the target.
            slots: number of statements that it runs at once.
            is_new: whether it started while this host was running.
        """
        pacer = TargetPacer(self._host, target, life, slots)
        self._pacers[target] = pacer
        if is_new:
            pacer.handle_recovered()
        return pacer

    def set_holders(self, target: str, holders: Collection[str]) -> None:
        """Set the hosts that have connections to a target.

        A host that isn't one of them neither tells nor uses figures.
        """
        pacer = self._pacers.get(target)
        if pacer is not None:
            is_holder = self._host in holders
            others = sorted(set(holders) - {self._host})
            pacer.holders = tuple(others) if is_holder else ()

    def remove(self, target: str) -> None:
        """Forget a target that has left."""
        self._pacers.pop(target, None)

    def check_suspension(self, now_s: float) -> None:
        """Ignore what was sent and received before a suspension."""
        if now_s - self._last_tick_s > SUSPENSION_S:
            self._distrusted_until_s = now_s + DISTRUST_S
            for pacer in self._pacers.values():
                pacing.suspend(pacer.pace, now_s)
                pacer.figures.clear()
        self._last_tick_s = now_s

    def publish(self, now_s: float) -> None:
        """Send the figures and log the changes that are due."""
        for pacer in self._pacers.values():
            supervision.contain("pacing", pacer.log_change, self._log, now_s)
            supervision.contain("pacing", pacer.send_figure, self._peers, now_s)

    def _receive(self, host: str, payload: Any, now_s: float) -> None:
        is_distrusted = now_s < self._distrusted_until_s
        if is_distrusted or now_s - self._last_tick_s > SUSPENSION_S:
            return
        try:
            target, figure = pace_sharing.decode_figure(payload, now_s)
        except pace_sharing.MalformedFigure as error:
            self._log.write("pace_message_broken", reason=str(error))
            return
        pacer = self._pacers.get(target)
        if pacer is not None and host in pacer.holders:
            pacer.receive(host, figure, now_s)
