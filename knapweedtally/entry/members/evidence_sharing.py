"""Exchange of evidence about groups with the other hosts."""

from collections.abc import Callable
from collections.abc import Mapping
from typing import NamedTuple

from knapweedtally.core.groups import change_notices
from knapweedtally.core.groups import evidence
from knapweedtally.core.groups import load_shedding
from knapweedtally.core.groups import model
from knapweedtally.core.groups import sharing
from knapweedtally.entry.common import clock
from knapweedtally.entry.fleet import peers as peers_module
from knapweedtally.entry.members import group as group_module

# Evidence is shared again when it is newer than the evidence that was last
# shared by this much, in seconds.
SHARE_INTERVAL_S = evidence.EVIDENCE_VALIDITY_S * 0.3


# Shortest interval at which a distributor passes on evidence of known terms, in
# seconds. Evidence of several groups goes into one message.
PASS_INTERVAL_S = 0.1

# Delay after which the second distributor passes on evidence that the first one
# hasn't passed on, in seconds.
BACKUP_DELAY_S = 0.15

# Interval at which a notice about a change of primary is repeated, in seconds.
# Datagrams get lost.
NOTICE_INTERVAL_S = 0.2

# Number of hosts that repeat the notices about a group. The promoter and a
# second one may have been killed, and a third one has just started.
NOTICE_REPEATERS = 4

# For how long a notice is repeated after which nothing is withheld, in seconds.
NOTICE_REPETITION_S = 0.5

# How long after the start all known hosts count as live for a rank, in seconds.
RANK_SETTLING_TIME_S = 3.0


class _Shared(NamedTuple):
    """The term of evidence, and when the primary and others were seen."""

    term: int
    primary_s: float
    member_s: float


_NOTHING = _Shared(0, 0.0, 0.0)


class EvidenceSharer:
    """Share evidence about groups with the other hosts."""

    def __init__(
        self,
        host: str,
        peers: peers_module.Peers,
        routers: Mapping[str, group_module.Group],
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
        # What was last shared, and what was last passed on inside the data
        # centre by this host or its other distributor, by group.
        self._last_shared: dict[str, _Shared] = {}
        self._last_passed: dict[str, _Shared] = {}
        self._fenced_passed_s: dict[str, float] = {}
        self._notices_passed_s: dict[str, float] = {}
        self._next_notice_s: dict[str, float] = {}
        self._newer_since_s: dict[str, float] = {}
        self._next_pass_s = 0.0

    def receive(
        self, shared: sharing.SharedEvidence, sent_here_s: float, host: str
    ) -> None:
        """Merge another host's evidence.

        Args:
            shared: the evidence.
            sent_here_s: the earliest time, on this host's clock, at which
                the evidence was sent.
            host: name of the other host.
        """
        router = self._routers.get(shared.group)
        if router is None:
            return
        router.observer.merge_evidence(shared, sent_here_s)
        if shared.change is not change_notices.Stage.NONE:
            # The age that was sent lacks the time on the way, so that the
            # notice is in force here until it isn't anywhere else.
            self._record_notice(
                router,
                change_notices.Notice(
                    shared.change, shared.term, shared.position, shared.target
                ),
                clock.get_time_s() - shared.position_age_s,
            )
        contacts = self._peers.contacts
        if contacts.rank is None:
            return
        if shared.change is not change_notices.Stage.NONE:
            self._pass_on_once(shared, sent_here_s, self._notices_passed_s)
        elif shared.is_fenced:
            self._pass_on_once(shared, sent_here_s, self._fenced_passed_s)
        elif contacts.rank > 0 and host in contacts.local:
            # The first distributor passes on what it has.
            self._record_passed(
                shared.group,
                shared.term,
                sent_here_s - shared.primary_age_s,
                sent_here_s - shared.member_age_s,
            )

    def _pass_on_once(
        self,
        shared: sharing.SharedEvidence,
        sent_here_s: float,
        passed_s: dict[str, float],
    ) -> None:
        """Pass on what a promoter shares about a fenced term, once.

        Its time only gets earlier from host to host, so distributors that take
        each other for receivers don't pass it back and forth.
        """
        now_s = clock.get_time_s()
        known_s = sent_here_s - shared.position_age_s
        if known_s <= passed_s.get(shared.group, 0.0):
            return
        passed_s[shared.group] = known_s
        passed_on = shared._replace(position_age_s=now_s - known_s)
        self._peers.share_locally((passed_on,), now_s)

    def _record_passed(
        self, group: str, term: int, primary_s: float, member_s: float
    ) -> None:
        last = self._last_passed.get(group, _NOTHING)
        if term < last.term:
            return
        if term == last.term:
            primary_s = max(primary_s, last.primary_s)
            member_s = max(member_s, last.member_s)
        self._last_passed[group] = _Shared(term, primary_s, member_s)

    def share_fenced_position(
        self,
        router: group_module.Group,
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
        self._peers.share_locally((shared,), now_s)

    def share_change_notice(
        self, router: group_module.Group, notice: change_notices.Notice
    ) -> None:
        """Record and share how far a change of primary has got.

        Args:
            router: the group's router.
            notice: the notice.
        """
        now_s = clock.get_time_s()
        change = router.observer.leadership.change
        if notice != change.notice:
            self._next_notice_s[router.settings.name] = 0.0
        self._record_notice(router, notice, now_s)
        self._repeat_notice(router, now_s)

    def _record_notice(
        self,
        router: group_module.Group,
        notice: change_notices.Notice,
        known_s: float,
    ) -> None:
        """Record a notice, and object to it if there is a reason."""
        objection = change_notices.record_notice(
            router.observer.leadership.change, notice, known_s
        )
        if objection is not None:
            self._share_notice(router.settings.name, objection, 0.0)

    def _repeat_notice(self, router: group_module.Group, now_s: float) -> None:
        """Share the latest notice again if it is due.

        Datagrams get lost, and hosts start while a promotion may be about to
        take effect.
        """
        group = router.settings.name
        change = router.observer.leadership.change
        notice = change.notice
        if notice is None or now_s < self._next_notice_s.get(group, 0.0):
            return
        due = change_notices.list_requests(change, now_s)
        is_recent = now_s < change.known_s + NOTICE_REPETITION_S
        is_active = change_notices.get_active_notice(change, now_s) is not None
        is_led = router.observer.leadership.term >= notice.term
        is_listed = any(request.notice == notice for request in due)
        if (is_recent or is_active) and not is_led and not is_listed:
            due.append(change_notices.Request(notice, change.known_s))
        if due:
            self._next_notice_s[group] = now_s + NOTICE_INTERVAL_S
        for item in due:
            self._share_notice(group, item.notice, now_s - item.known_s)

    def _share_notice(
        self, group: str, notice: change_notices.Notice, age_s: float
    ) -> None:
        now_s = clock.get_time_s()
        shared = sharing.make_shared_notice(group, notice, age_s)
        self._peers.share((shared,), now_s)
        self._peers.share_locally((shared,), now_s)

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
            known = self._peers.list_known_data_centres()
            return sharing.rank_hosts(group, known).index(self._host)
        ranked = self.rank_hosts(group)
        return ranked.index(self._host) if ranked else 0

    def share_new_evidence(
        self, now_s: float, is_changing: Callable[[str], bool]
    ) -> None:
        """Share the evidence that is newer than what was last shared.

        Only the hosts that poll a group's members share evidence about it, and
        distributors pass on what they have.

        Args:
            now_s: the current time.
            is_changing: returns whether this host is changing a group's
                primary. That host shares too, since it is the first to know
                the new primary.
        """
        updates = []
        for name, router in self._routers.items():
            ranked = self.rank_hosts(name)
            pollers = ranked[: sharing.POLLERS_PER_GROUP]
            if self._host in ranked[:NOTICE_REPEATERS]:
                self._repeat_notice(router, now_s)
            observer = router.observer
            observer.is_poller = self._host in pollers
            if not observer.is_poller and not is_changing(name):
                continue
            last = self._last_shared.get(name, _NOTHING)
            shared = _make_newer(router, last, SHARE_INTERVAL_S, now_s)
            if shared is not None:
                self._last_shared[name] = _get_shared(router)
                updates.append(shared)
        if updates:
            self._peers.share(tuple(updates), now_s)
        if self._peers.contacts.rank is not None:
            self._pass_on(self._peers.contacts.rank, now_s)

    def _pass_on(self, rank: int, now_s: float) -> None:
        """Pass evidence on to the hosts of this data centre.

        The second distributor passes on what the first one hasn't.
        """
        updates = []
        is_due = now_s >= self._next_pass_s
        for name, router in self._routers.items():
            last = self._last_passed.get(name, _NOTHING)
            shared = _make_newer(router, last, SHARE_INTERVAL_S, now_s)
            if shared is None:
                self._newer_since_s.pop(name, None)
                continue
            newer_since_s = self._newer_since_s.setdefault(name, now_s)
            if now_s - newer_since_s >= rank * BACKUP_DELAY_S:
                updates.append(shared)
                is_due = is_due or shared.term > last.term
        if not updates or not is_due:
            return
        self._next_pass_s = now_s + PASS_INTERVAL_S
        for shared in updates:
            current = _get_shared(self._routers[shared.group])
            self._record_passed(shared.group, *current)
        self._peers.share_locally(tuple(updates), now_s)


def _get_shared(router: group_module.Group) -> _Shared:
    leadership = router.observer.leadership
    return _Shared(
        leadership.term, leadership.primary_seen_s, leadership.member_seen_s
    )


def _make_newer(
    router: group_module.Group,
    last: _Shared,
    interval_s: float,
    now_s: float,
) -> sharing.SharedEvidence | None:
    """Return a group's evidence to share if enough of it is newer.

    Commits renew the evidence from the primary only, and it shows the other
    hosts that the primary answers.
    """
    observer = router.observer
    current = _get_shared(router)
    is_newer = (
        current.term > last.term
        or current.primary_s >= last.primary_s + interval_s
        or current.member_s >= last.member_s + interval_s
    )
    if not is_newer or not observer.is_primary_confirmed(now_s):
        return None
    refused_share = load_shedding.get_refused_share(
        observer.load_shedding, now_s
    )
    return sharing.make_shared_evidence(
        router.settings.name, observer.leadership, refused_share, now_s
    )
