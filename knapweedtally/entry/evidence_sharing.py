"""Exchange of evidence about groups with the other hosts."""

from collections.abc import Callable

from knapweedtally.core.groups import evidence
from knapweedtally.core.groups import load_shedding
from knapweedtally.core.groups import model
from knapweedtally.core.groups import sharing
from knapweedtally.entry import clock
from knapweedtally.entry import peers as peers_module
from knapweedtally.entry import router as router_module

# Evidence is shared again when it is newer than the evidence that was last
# shared by this much, in seconds.
SHARE_INTERVAL_S = evidence.EVIDENCE_VALIDITY_S * 0.3


# How long after the start all known hosts count as live for a rank, in seconds.
RANK_SETTLING_TIME_S = 3.0


class EvidenceSharer:
    """Share evidence about groups with the other hosts."""

    def __init__(
        self,
        host: str,
        peers: peers_module.Peers,
        routers: dict[str, router_module.Router],
    ) -> None:
        """Start without having shared evidence.

        Args:
            host: name of this host.
            peers: the other hosts.
            routers: routers by name of the group, kept up to date by the host.
        """
        self._host = host
        self._started_s = clock.get_time_s()
        self._peers = peers
        self._routers = routers
        self._ranked_hosts: tuple[int, dict[str, list[str]]] = (0, {})
        # Term of the evidence that was last shared, and times when the primary
        # and the other members were seen in it, by group.
        self._last_shared: dict[str, tuple[int, float, float]] = {}

    def receive(
        self, shared: sharing.SharedEvidence, sent_here_s: float
    ) -> None:
        """Merge another host's evidence.

        Args:
            shared: the evidence.
            sent_here_s: the earliest time, on this host's clock, at which
                the evidence was sent.
        """
        router = self._routers.get(shared.group)
        if router is not None:
            router.observer.merge_evidence(shared, sent_here_s)

    def share_fenced_position(
        self,
        router: router_module.Router,
        term: int,
        position: model.Position,
    ) -> None:
        """Record and share the position that covers a fenced term's commits.

        Until the promotion is requested, no acknowledged commit of the term has
        a later position.

        Args:
            router: the group's router.
            term: the fenced term.
            position: the position.
        """
        now_s = clock.get_time_s()
        leadership = router.observer.leadership
        evidence.record_fenced_position(leadership, term, position, now_s)
        router.dispatch()
        shared = sharing.SharedEvidence(
            router.settings.name, "", term, 0.0, 0.0, 0.0, position, True
        )
        self._peers.share((shared,), now_s)

    def rank_hosts(self, group: str) -> list[str]:
        """Return the names of the live hosts in a group's order."""
        live = self._peers.get_live_hosts()
        if self._ranked_hosts[0] != self._peers.live_version:
            self._ranked_hosts = (self._peers.live_version, {})
        ranked = self._ranked_hosts[1]
        if group not in ranked:
            ranked[group] = sharing.rank_hosts(group, live)
        return ranked[group]

    def get_rank(self, group: str) -> int:
        """Return this host's rank for a group among the live hosts.

        Until the other hosts had time to be heard, all known hosts count:
        otherwise each host that starts would take itself for the first one.
        """
        if clock.get_time_s() - self._started_s < RANK_SETTLING_TIME_S:
            known = self._peers.list_known_hosts()
            return sharing.rank_hosts(group, known).index(self._host)
        ranked = self.rank_hosts(group)
        return ranked.index(self._host) if ranked else 0

    def share_new_evidence(
        self, now_s: float, is_changing: Callable[[str], bool]
    ) -> None:
        """Share the evidence that is newer than what was last shared.

        Only the hosts that poll a group's members share evidence about it.

        Args:
            now_s: the current time.
            is_changing: returns whether this host is changing a group's
                primary. That host shares too, since it is the first to know
                the new primary.
        """
        updates = []
        for name, router in self._routers.items():
            pollers = self.rank_hosts(name)[: sharing.POLLERS_PER_GROUP]
            observer = router.observer
            observer.is_poller = self._host in pollers
            if not observer.is_poller and not is_changing(name):
                continue
            leadership = observer.leadership
            last_term, last_primary_s, last_member_s = self._last_shared.get(
                name, (0, 0.0, 0.0)
            )
            # Commits renew the evidence from the primary only, and it shows the
            # other hosts that the primary answers.
            is_newer = (
                leadership.primary_seen_s >= last_primary_s + SHARE_INTERVAL_S
                or leadership.member_seen_s >= last_member_s + SHARE_INTERVAL_S
            )
            if not is_newer and leadership.term <= last_term:
                continue
            if not observer.is_primary_confirmed(now_s):
                continue
            refused_share = load_shedding.get_refused_share(
                observer.load_shedding, now_s
            )
            shared = sharing.make_shared_evidence(
                name, leadership, refused_share, now_s
            )
            if shared is not None:
                self._last_shared[name] = (
                    leadership.term,
                    leadership.primary_seen_s,
                    leadership.member_seen_s,
                )
                updates.append(shared)
        if updates:
            self._peers.share(tuple(updates), now_s)
