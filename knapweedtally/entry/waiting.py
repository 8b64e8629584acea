"""Questions and other hosts' statements that wait for an idle connection."""

import collections
from collections.abc import Callable
from typing import NamedTuple

from knapweedtally.entry import connections
from knapweedtally.platform import lines

# Least time for the answer to a question that waited, in seconds.
LEAST_LIMIT_S = 0.05

Take = Callable[[dict[bytes, bytes], bool], connections.Connection | None]


class _Question(NamedTuple):
    text: bytes
    on_end: connections.Listener
    deadline_s: float


class _Borrower(NamedTuple):
    values: dict[bytes, bytes]
    on_idle: Callable[[connections.Connection | None], None]
    deadline_s: float


class Waiting:
    """Keep what waits for a connection of one pool, in order."""

    def __init__(self, take: Take) -> None:
        """Make it empty.

        Args:
            take: returns an idle connection for session values, which must
                not go through another host if the second argument is set.
        """
        self._take = take
        self._questions: collections.deque[_Question] = collections.deque()
        self._borrowers: collections.deque[_Borrower] = collections.deque()

    @property
    def has_borrowers(self) -> bool:
        """Tell whether statements of other hosts wait."""
        return bool(self._borrowers)

    def add_question(
        self, text: bytes, on_end: connections.Listener, deadline_s: float
    ) -> None:
        """Let a control statement wait."""
        self._questions.append(_Question(text, on_end, deadline_s))

    def add_borrower(
        self,
        values: dict[bytes, bytes],
        on_idle: Callable[[connections.Connection | None], None],
        deadline_s: float,
    ) -> None:
        """Let another host's statement wait."""
        self._borrowers.append(_Borrower(values, on_idle, deadline_s))

    def serve_questions(self, now_s: float) -> None:
        """Send questions as far as connections are idle."""
        while self._questions:
            connection = self._take({}, False)
            if connection is None:
                return
            question = self._questions.popleft()
            limit_s = max(LEAST_LIMIT_S, question.deadline_s - now_s)
            connection.send(
                lines.OWN_ID, question.text, question.on_end, limit_s
            )

    def serve_borrowers(self) -> None:
        """Hand out direct connections as far as they are idle."""
        while self._borrowers:
            connection = self._take(self._borrowers[0].values, True)
            if connection is None:
                return
            self._borrowers.popleft().on_idle(connection)

    def expire(self, now_s: float) -> None:
        """Give up what waited for too long."""
        while self._questions and self._questions[0].deadline_s < now_s:
            question = self._questions.popleft()
            question.on_end(connections.Outcome(None, now_s, True))
        while self._borrowers and self._borrowers[0].deadline_s < now_s:
            self._borrowers.popleft().on_idle(None)

    def close(self, now_s: float) -> None:
        """Give up everything."""
        while self._questions:
            question = self._questions.popleft()
            question.on_end(connections.Outcome(None, now_s))
        while self._borrowers:
            self._borrowers.popleft().on_idle(None)
