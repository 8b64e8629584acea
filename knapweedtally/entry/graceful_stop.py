"""The planned stop of an entry host.

Comes in: the host and its listener, once a stop was requested. Goes out: the
end of each session, with an answer to what was read. It decides nothing about
statements; ``core/groups/shutdown.py`` has the phases.
"""

import asyncio
import collections
import math
from collections.abc import Callable
from typing import ParamSpec

from knapweedtally.core.groups import shutdown
from knapweedtally.entry import host as host_module
from knapweedtally.entry.common import clock
from knapweedtally.entry.common import logs
from knapweedtally.entry.common import supervision
from knapweedtally.entry.statements import sessions

# Interval of the checks, in seconds.
CHECK_INTERVAL_S = 0.05

_Phase = shutdown.Phase
_Parameters = ParamSpec("_Parameters")


class GracefulStop:
    """End the sessions of a host within its grace time."""

    def __init__(
        self,
        host: host_module.Host,
        server: asyncio.AbstractServer,
        grace_s: float,
        log: logs.Log,
    ) -> None:
        """Create a stop that hasn't begun.

        Args:
            host: the host.
            server: the listener for callers.
            grace_s: time after which the process is killed.
            log: where the phases are written.
        """
        self._host = host
        self._server = server
        self._grace_s = grace_s
        self._log = log
        self._staying: collections.deque[sessions.CallerSession] = (
            collections.deque()
        )
        self._staying_count = 0
        self._entries = {
            _Phase.ANNOUNCING: self._announce,
            _Phase.LEAVING: self._stop_accepting,
            _Phase.REFUSING: self._abort_transactions,
            _Phase.FINISHING: self._refuse_waiting,
            _Phase.OVER: self._end_running,
        }

    async def run(self) -> None:
        """Go through the phases, until no connection is open or time is up."""
        started_s = clock.get_time_s()
        while True:
            elapsed_s = clock.get_time_s() - started_s
            self._enter_phases(shutdown.find_phase(elapsed_s, self._grace_s))
            supervision.contain("shutdown", self._check_sessions, elapsed_s)
            is_late = elapsed_s > shutdown.EXIT_FRACTION * self._grace_s
            if is_late or self._is_done():
                return
            await asyncio.sleep(CHECK_INTERVAL_S)

    def _enter_phases(self, current: shutdown.Phase) -> None:
        """Enter each phase up to the current one, also after a suspension."""
        for phase in _Phase:
            if self._host.phase < phase <= current:
                self._host.phase = phase
                self._log.write(
                    "shutdown_phase",
                    phase=phase.name,
                    sessions=len(self._host.sessions),
                    relay_sessions=len(self._host.relay_sessions),
                )
                supervision.contain("shutdown", self._entries[phase])

    def _is_done(self) -> bool:
        host = self._host
        return host.phase >= _Phase.LEAVING and not (
            host.sessions or host.closing_sessions or host.relay_sessions
        )

    def _announce(self) -> None:
        """Do nothing: the host reports its phase itself."""

    def _stop_accepting(self) -> None:
        self._server.close()
        self._staying.extend(self._host.sessions)
        self._staying_count = len(self._staying)

    def _abort_transactions(self) -> None:
        self._ask_to_leave(0)
        for session in tuple(self._host.sessions):
            _contain(
                session, session.abort_transaction, sessions.STOPPING_REASON
            )

    def _refuse_waiting(self) -> None:
        for router in self._host.routers.values():
            supervision.contain(
                "group", router.refuse_waiting, sessions.STOPPING_REASON
            )
        self._host.quotas.refuse_waiting(sessions.STOPPING_REASON)
        for session in tuple(self._host.sessions):
            _contain(session, session.refuse_waiting)
        for relay_session in tuple(self._host.relay_sessions):
            relay_session.refuse_waiting()

    def _end_running(self) -> None:
        for router in self._host.routers.values():
            # What no evidence has confirmed by now ends in doubt.
            router.observer.settle_commits(math.inf)
        for session in tuple(self._host.sessions):
            _contain(session, session.end_running, sessions.STOPPING_REASON)

    def _check_sessions(self, elapsed_s: float) -> None:
        host = self._host
        if host.phase < _Phase.LEAVING:
            return
        leaving = shutdown.count_leaving(
            self._staying_count, elapsed_s, self._grace_s
        )
        self._ask_to_leave(self._staying_count - leaving)
        if host.phase < _Phase.FINISHING:
            return
        for session in tuple(host.sessions):
            _contain(
                session, session.close_unless_busy, sessions.STOPPING_REASON
            )
        for relay_session in tuple(host.relay_sessions):
            if relay_session.is_idle():
                relay_session.close()

    def _ask_to_leave(self, staying: int) -> None:
        """Ask sessions to leave until only a number of them isn't asked."""
        while len(self._staying) > staying:
            session = self._staying.popleft()
            _contain(session, session.leave)


def _contain(
    session: sessions.CallerSession,
    function: Callable[_Parameters, object],
    *args: _Parameters.args,
    **kwargs: _Parameters.kwargs,
) -> None:
    """Call a session's method; an error ends this session only."""
    if not supervision.contain("session", function, *args, **kwargs):
        session.abort()
