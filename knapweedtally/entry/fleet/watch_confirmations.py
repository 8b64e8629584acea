"""Exchange of confirmations between the hosts of a data centre.

A message has the sender's incarnation and time, and for each kind of objects
the highest revision seen and the age of the store's answer. The receiver
converts the time by the echoes of the usual messages, so that a delayed message
confirms less, never more.
"""

from collections.abc import Sequence
from typing import Any

from knapweedtally.core import watch_confirmation
from knapweedtally.core.groups import distribution
from knapweedtally.entry.common import logs
from knapweedtally.entry.fleet import peers as peers_module
from knapweedtally.entry.fleet import store_watches

# Kind of the datagrams.
CONFIRMATION_KIND = "store-confirmed"


class WatchConfirmations:
    """Confirm watches of other hosts, and have those of this host confirmed.

    Attributes:
        is_confirming: whether this host asks the store for its data centre.
    """

    def __init__(
        self,
        host: str,
        data_centre: str,
        peers: peers_module.Peers,
        log: logs.Log,
    ) -> None:
        """Create it without watchers.

        Args:
            host: name of this host.
            data_centre: its data centre.
            peers: the other hosts.
            log: where malformed messages are written.
        """
        self.is_confirming = True
        self._host = host
        self._data_centre = data_centre
        self._peers = peers
        self._log = log
        self._watchers: dict[str, store_watches.Watcher] = {}
        self._live_version = -1
        self._receivers: tuple[str, ...] = ()
        self._sent_read_s: dict[str, float | None] = {}
        self._next_send_s = 0.0
        peers.add_listener(CONFIRMATION_KIND, self._receive)

    def add_watchers(self, watchers: Sequence[store_watches.Watcher]) -> None:
        """Exchange confirmations for watchers."""
        self._watchers.update({w.kind: w for w in watchers})

    def tick(self, now_s: float) -> None:
        """Tell other hosts what the store has answered, if that is due."""
        if self._peers.live_version != self._live_version:
            self._live_version = self._peers.live_version
            self._choose_receivers()
        for watcher in self._watchers.values():
            watcher.is_confirming = self.is_confirming
        if not self._receivers or now_s < self._next_send_s:
            return
        read_s = {
            kind: watcher.state.read_s
            for kind, watcher in self._watchers.items()
        }
        if read_s != self._sent_read_s:
            self._sent_read_s = read_s
            self._next_send_s = now_s + watch_confirmation.SEND_INTERVAL_S
            self._send(now_s)

    def _choose_receivers(self) -> None:
        local = [
            name
            for name, data_centre in self._peers.get_live_hosts().items()
            if data_centre == self._data_centre
        ]
        ranked = distribution.rank_distributors(self._data_centre, local)
        self.is_confirming = ranked[:1] in ([], [self._host])
        self._receivers = tuple(ranked[1:]) if self.is_confirming else ()

    def _send(self, now_s: float) -> None:
        made = (
            watch_confirmation.make_confirmation(watcher.state, kind, now_s)
            for kind, watcher in self._watchers.items()
        )
        items = watch_confirmation.encode_confirmations(
            [item for item in made if item is not None]
        )
        payload = [self._peers.incarnation, round(now_s * 1e6), items]
        for host in self._receivers:
            self._peers.send_extension(host, CONFIRMATION_KIND, payload)

    def _receive(self, host: str, payload: Any, now_s: float) -> None:
        try:
            incarnation, sent_us, items = payload
            is_time = type(sent_us) is int and abs(sent_us) < 2**63
            parsed = watch_confirmation.parse_confirmations(items)
        except (TypeError, ValueError):
            is_time, parsed = False, []
        if not is_time:
            self._log.write(
                "peer_message_broken",
                reason=f"{CONFIRMATION_KIND}: expected incarnation, time and "
                "confirmations",
            )
            return
        sent_here_s = self._peers.convert_time(
            host, incarnation, sent_us / 1e6, now_s
        )
        if sent_here_s is None:
            return
        sent_here_s = min(sent_here_s, now_s)
        for item in parsed:
            watcher = self._watchers.get(item.kind)
            if watcher is not None:
                watcher.record_confirmation(
                    item.changed_revision, sent_here_s - item.age_s, now_s
                )
