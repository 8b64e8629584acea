"""Checks whether released members run after all."""

from knapweedtally.core.groups import catalog as catalog_module
from knapweedtally.core.groups import former_members
from knapweedtally.core.groups import model
from knapweedtally.entry.common import logs
from knapweedtally.entry.pools import line_connections
from knapweedtally.entry.pools import pools
from knapweedtally.platform import line_protocol

# Interval at which each released member is asked for its status, in seconds.
PROBE_INTERVAL_S = 1.0


class MemberProbes:
    """Ask released members for their status, and readmit those that answer.

    A target that a host couldn't reach for a while may have received the log
    all the time. While its entry is missing, only its answer shows that it
    runs.
    """

    def __init__(
        self, catalog: catalog_module.Catalog, user: str, log: logs.Log
    ) -> None:
        """Start without a probe.

        Args:
            catalog: the known targets.
            user: name of this host towards the targets.
            log: where readmitted members are written.
        """
        self._catalog = catalog
        self._user = user
        self._log = log
        self._pools: dict[str, pools.Pool] = {}
        self._next_probe_s = 0.0

    def is_due(self, now_s: float) -> bool:
        """Return whether the released members are to be asked now."""
        return now_s >= self._next_probe_s and bool(
            self._pools or self._catalog.released
        )

    def probe(self, released: list[model.TargetEntry], now_s: float) -> None:
        """Evaluate the last probes and start the next ones.

        Args:
            released: entries of the released members to ask.
            now_s: the current time.
        """
        self._next_probe_s = now_s + PROBE_INTERVAL_S
        answered = self._close_probes()
        readmitted = former_members.add_unlisted(
            self._catalog,
            [entry for entry in released if entry.target in answered],
            now_s,
        )
        if readmitted:
            self._log.write("members_readmitted", targets=readmitted)
        for entry in released:
            if entry.target not in readmitted:
                self._start_probe(entry)

    def _close_probes(self) -> set[str]:
        """Close the probes' connections and return who has answered."""
        ended, self._pools = self._pools, {}
        for pool in ended.values():
            pool.close()
        return {
            target for target, pool in ended.items() if pool.answered_s > 0.0
        }

    def _start_probe(self, entry: model.TargetEntry) -> None:
        pool = pools.Pool(entry, 1, self._user, self._log, lambda: None)
        self._pools[entry.target] = pool

        def handle_status(outcome: line_connections.Outcome) -> None:
            if outcome.answer is None or not line_protocol.parse_status(
                outcome.answer
            ):
                pool.answered_s = 0.0

        pool.answered_s = 0.0
        pool.send_control_statement(
            line_protocol.STATUS, handle_status, pools.CONTROL_TIMEOUT_S
        )

    def close(self) -> None:
        """Close the probes' connections."""
        self._close_probes()
