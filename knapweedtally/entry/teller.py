"""What this host tells the others about groups, and takes from them."""

from collections.abc import Callable

from knapweedtally.core.groups import crowding
from knapweedtally.core.groups import evidence
from knapweedtally.core.groups import model
from knapweedtally.core.groups import sharing
from knapweedtally.entry import clock
from knapweedtally.entry import peers as peers_module
from knapweedtally.entry import router as router_module

# Evidence is told to the other hosts when it is newer than what they were told
# by this much, in seconds.
SHARE_AFTER_S = evidence.EVIDENCE_SPAN_S * 0.3


class Teller:
    """Share evidence about groups with the other hosts."""

    def __init__(
        self,
        host: str,
        peers: peers_module.Peers,
        routers: dict[str, router_module.Router],
    ) -> None:
        """Make a teller that has told nothing.

        Args:
            host: name of this host.
            peers: the other hosts.
            routers: routers by name of the group, kept up to date by the host.
        """
        self._host = host
        self._peers = peers
        self._routers = routers
        self._ranked: tuple[int, dict[str, list[str]]] = (0, {})
        # Term and age of what was last told of each group.
        self._told: dict[str, tuple[int, float]] = {}

    def take(self, shared: sharing.SharedEvidence, sent_here_s: float) -> None:
        """Take another host's evidence.

        Args:
            shared: what it stated.
            sent_here_s: when it was sent, on this host's clock, at the
                earliest.
        """
        router = self._routers.get(shared.group)
        if router is not None:
            router.observer.note_shared(shared, sent_here_s)

    def tell_fenced(
        self,
        router: router_module.Router,
        term: int,
        position: model.Position,
    ) -> None:
        """Tell every host which position covers all commits for now."""
        now_s = clock.get_time_s()
        leadership = router.observer.leadership
        evidence.note_fenced_position(leadership, term, position, now_s)
        router.dispatch()
        shared = sharing.SharedEvidence(
            router.settings.name, "", term, 0.0, 0.0, 0.0, position, True
        )
        self._peers.share((shared,), now_s)

    def rank_hosts(self, group: str) -> list[str]:
        """Return the live hosts in a group's order."""
        live = self._peers.get_live_hosts()
        if self._ranked[0] != self._peers.live_version:
            self._ranked = (self._peers.live_version, {})
        ranked = self._ranked[1]
        if group not in ranked:
            ranked[group] = sharing.rank_hosts(group, live)
        return ranked[group]

    def tell(self, now_s: float, is_changing: Callable[[str], bool]) -> None:
        """Tell the other hosts what this host asked for, when it is new.

        Args:
            now_s: the time.
            is_changing: whether this host changes a group's primary. It is the
                first to know the new one.
        """
        news = []
        for name, router in self._routers.items():
            askers = self.rank_hosts(name)[: sharing.ASKERS]
            observer = router.observer
            observer.is_asker = self._host in askers
            if not observer.is_asker and not is_changing(name):
                continue
            leadership = observer.leadership
            seen_s = min(leadership.primary_seen_s, leadership.member_seen_s)
            term, told_s = self._told.get(name, (0, 0.0))
            is_newer = seen_s >= told_s + SHARE_AFTER_S
            if not is_newer and leadership.term <= term:
                continue
            if not observer.is_served(now_s):
                continue
            share = crowding.get_share(observer.crowding, now_s)
            shared = sharing.make_shared(name, leadership, share, now_s)
            if shared is not None:
                self._told[name] = (leadership.term, seen_s)
                news.append(shared)
        if news:
            self._peers.share(tuple(news), now_s)
