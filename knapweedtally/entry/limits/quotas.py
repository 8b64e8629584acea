"""Tokens for the operations of teams with a limit.

The adapter of ``core/quotas``: its messages, timers, log and counters.
"""

import asyncio
import itertools
import math
import random
from typing import Any

from knapweedtally.core.groups import catalog as catalog_module
from knapweedtally.core.quotas import allocator
from knapweedtally.core.quotas import borrower
from knapweedtally.core.quotas import messages
from knapweedtally.core.quotas import outcomes
from knapweedtally.core.quotas import rules
from knapweedtally.core.quotas import slices
from knapweedtally.entry.common import clock
from knapweedtally.entry.common import logs
from knapweedtally.entry.common import metrics
from knapweedtally.entry.common import supervision
from knapweedtally.entry.fleet import peers as peers_module
from knapweedtally.entry.limits import permits
from knapweedtally.entry.limits import quota_messages
from knapweedtally.platform import settings

# Interval at which the known hosts are read while none comes or goes, in
# seconds; those that were heard lately change with time.
FLEET_INTERVAL_S = 1.0

# Names of teams in counters; those of further teams are counted together.
MAX_COUNTED_TEAMS = 100
OTHER_TEAMS = "other"

# Part of a hint by which it is extended at random, and the shortest extension,
# in seconds. Callers that were refused together don't return together.
JITTER_PART = 0.5
MIN_JITTER_S = 0.05

# Timers fire slightly late, so that the time that they wait for has passed.
TIMER_MARGIN_S = 0.001

_DETAILS = {
    "empty": "over the team's limit",
    "no allocator": "no allocator of the team's limit grants",
}

RefusalListener = permits.RefusalListener
AdmissionListener = permits.AdmissionListener


class Quotas:
    """Admission of operations within the limits of their teams."""

    def __init__(
        self,
        host_settings: settings.HostSettings,
        peers: peers_module.Peers,
        catalog: catalog_module.Catalog,
        log: logs.Log,
        counters: metrics.Metrics,
    ) -> None:
        """Create quotas that are active only if the settings have them.

        Args:
            host_settings: this host's settings.
            peers: exchange with the other hosts.
            catalog: the configuration with the teams.
            log: where refusals are written.
            counters: the host's counters.
        """
        self._quota = host_settings.quota
        self._host = host_settings.host
        self._peers = peers
        self._catalog = catalog
        self._log = log
        self._counters = counters
        self._configuration: object = None
        self._live_version = -1
        self._was_listed = False
        self._had_met = False
        self._next_fleet_s = 0.0
        self._counted_teams: set[str] = set()
        self._random = random.Random()
        self._ids = itertools.count(1)
        self._waiting: dict[
            int, tuple[str, bytes, float, AdmissionListener, RefusalListener]
        ] = {}
        if self._quota is None:
            return
        now_s = clock.get_time_s()
        data_centre = host_settings.data_centre
        tolerance = slices.Tolerance(*self._quota)
        self._allocator = allocator.Allocator(
            self._host, data_centre, tolerance, now_s
        )
        self._borrower = borrower.Borrower(
            self._host,
            data_centre,
            tolerance,
            self._random.getrandbits(60),
        )
        peers.add_listener(quota_messages.ASK_KIND, self._receive_ask)
        peers.add_listener(quota_messages.LEND_KIND, self._receive_lend)

    def admit(
        self,
        team: str,
        id_: bytes,
        left_s: float,
        on_admitted: AdmissionListener,
        on_refused: RefusalListener,
    ) -> None:
        """Admit an operation, at once if a token is at hand or none is needed.

        Args:
            team: name of the caller's team, or empty.
            id_: id of the operation's statement, for the log.
            left_s: time that the operation has left.
            on_admitted: called with the operation's permit, or with None if
                it needs none.
            on_refused: called with the detail of the refusal.
        """
        if self._quota is None or not team:
            on_admitted(None)
            return
        now_s = clock.get_time_s()
        self._update_configuration(now_s)
        if not self._borrower.is_limited(team):
            on_admitted(None)
            return
        if self._live_version < 0:
            self._update_fleet(now_s)
        number = next(self._ids)
        self._waiting[number] = (
            team,
            id_,
            now_s + left_s,
            on_admitted,
            on_refused,
        )
        self._apply(
            team, self._borrower.admit(team, number, left_s, now_s), now_s
        )
        if number in self._waiting:
            is_starting = self._borrower.is_starting(now_s)
            wait_s = rules.compute_wait_s(left_s, is_starting)
            self._call_check_later(team, wait_s)

    def take_at_hand(self, team: str, now_s: float) -> float | None:
        """Return the expiry time of a token that is at hand, or None."""
        expires_s = self._borrower.take_at_hand(team, now_s)
        if expires_s is not None:
            self._count("quota_used", team)
        return expires_s

    def give_back(self, team: str, expires_s: float) -> None:
        """Take back a token that wasn't used."""
        now_s = clock.get_time_s()
        if rules.is_valid(expires_s, now_s):
            self._count("quota_returned", team)
            effects = self._borrower.give_back(team, expires_s, now_s)
            self._apply(team, effects, now_s)

    def refuse_waiting(self, reason: str) -> None:
        """Refuse the operations that wait for a token.

        Args:
            reason: detail of the refusals.
        """
        waiting, self._waiting = self._waiting, {}
        for *_, on_refused in waiting.values():
            supervision.contain("quota", on_refused, reason)

    def tick(self, now_s: float) -> None:
        """Take over changes of the configuration and of the other hosts."""
        if self._quota is None:
            return
        self._allocator.check(now_s)
        self._update_configuration(now_s)
        is_due = (
            now_s >= self._next_fleet_s
            or self._peers.is_listed != self._was_listed
            or self._peers.has_met_data_centre() != self._had_met
        )
        if is_due or self._peers.live_version != self._live_version:
            self._update_fleet(now_s)

    def _update_configuration(self, now_s: float) -> None:
        configuration = self._catalog.configuration
        if configuration is None or configuration is self._configuration:
            return
        self._configuration = configuration
        limits = {
            name: slices.Limit(
                configuration.version, team.rate_per_s, team.burst
            )
            for name, team in configuration.teams.items()
            if math.isfinite(team.rate_per_s)
        }
        self._allocator.update_limits(limits, now_s)
        self._apply("", self._borrower.update_limits(limits, now_s), now_s)

    def _update_fleet(self, now_s: float) -> None:
        self._next_fleet_s = now_s + FLEET_INTERVAL_S
        self._live_version = self._peers.live_version
        self._was_listed = self._peers.is_listed
        self._had_met = self._peers.has_met_data_centre()
        known = self._peers.list_known_data_centres()
        live = dict(self._peers.get_live_hosts())
        live[self._host] = known[self._host]
        fleet = slices.Fleet(
            live,
            known,
            self._peers.list_recent_hosts(
                now_s, rules.MEMORY_S, rules.UNHEARD_MEMORY_S
            ),
            self._peers.is_listed,
            self._had_met,
        )
        self._allocator.update_fleet(fleet, now_s)
        self._borrower.update_fleet(fleet, now_s)

    # Messages.

    def _receive_ask(self, host: str, payload: Any, now_s: float) -> None:
        if self._peers.find_host_address(host) is None:
            return
        try:
            ask = quota_messages.decode_ask(payload)
        except quota_messages.MalformedPayload as error:
            self._log.write("quota_message_broken", reason=str(error))
            return
        lend = self._allocator.answer(host, ask, now_s)
        payload = quota_messages.encode_lend(lend)
        self._peers.send_extension(host, quota_messages.LEND_KIND, payload)

    def _receive_lend(self, host: str, payload: Any, now_s: float) -> None:
        try:
            lend = quota_messages.decode_lend(payload)
        except quota_messages.MalformedPayload as error:
            self._log.write("quota_message_broken", reason=str(error))
            return
        self._handle_lend(host, lend, now_s)

    def _handle_lend(
        self, host: str, lend: messages.Lend, now_s: float
    ) -> None:
        if lend.tokens:
            self._count("quota_leased", lend.team, lend.tokens)
        effects = self._borrower.handle_lend(host, lend, now_s)
        self._apply(lend.team, effects, now_s)

    # Effects.

    def _apply(
        self, team: str, effects: list[outcomes.Effect], now_s: float
    ) -> None:
        for effect in effects:
            if isinstance(effect, outcomes.Sent):
                self._send(team, effect, now_s)
            elif isinstance(effect, outcomes.CheckLater):
                self._call_check_later(team, effect.delay_s)
            else:
                supervision.contain("quota", self._end_wait, effect, now_s)

    def _send(self, team: str, sent: outcomes.Sent, now_s: float) -> None:
        if sent.host == self._host:
            lend = self._allocator.answer(self._host, sent.ask, now_s)
            self._handle_lend(self._host, lend, now_s)
            return
        payload = quota_messages.encode_ask(sent.ask)
        self._peers.send_extension(sent.host, quota_messages.ASK_KIND, payload)
        self._call_check_later(team, borrower.REPEAT_AFTER_S)

    def _call_check_later(self, team: str, delay_s: float) -> None:
        asyncio.get_running_loop().call_later(
            delay_s + TIMER_MARGIN_S, self._check, team
        )

    def _check(self, team: str) -> None:
        now_s = clock.get_time_s()
        effects = self._borrower.check(team, now_s)
        self._apply(team, effects, now_s)

    def _end_wait(
        self, effect: outcomes.Admitted | outcomes.Refused, now_s: float
    ) -> None:
        waiting = self._waiting.pop(effect.id, None)
        if waiting is None:
            # It was refused for the planned stop.
            return
        team, id_, deadline_s, on_admitted, on_refused = waiting
        if isinstance(effect, outcomes.Admitted):
            self._count("quota_used", team)
            on_admitted(
                permits.Permit(self, team, id_, effect.expires_s, deadline_s)
            )
            return
        jitter_s = max(MIN_JITTER_S, effect.retry_s * JITTER_PART)
        retry_s = effect.retry_s + self._random.uniform(0.0, jitter_s)
        self._count("quota_refused", team, suffix=f" {effect.reason}")
        self._log_refusal(team, id_, effect, now_s)
        on_refused(
            f"{_DETAILS[effect.reason]}; "
            f"retry after {math.ceil(retry_s * 1000)} ms"
        )

    def _log_refusal(
        self, team: str, id_: bytes, effect: outcomes.Refused, now_s: float
    ) -> None:
        state = self._borrower.get_state(team)
        if state is None:
            return
        age_s = now_s - state.asked_s if state.asked_s else None
        self._log.write(
            "quota_refused",
            id=id_.decode("ascii", "replace"),
            team=team,
            reason=effect.reason,
            version=state.limit.version,
            rate_per_s=state.limit.rate_per_s,
            burst=state.limit.burst,
            lease_age_ms=None if age_s is None else round(age_s * 1000),
            replies={name: v.reply for name, v in state.views.items()},
        )

    def _count(
        self, name: str, team: str, amount: int = 1, suffix: str = ""
    ) -> None:
        if team not in self._counted_teams:
            if len(self._counted_teams) < MAX_COUNTED_TEAMS:
                self._counted_teams.add(team)
            else:
                team = OTHER_TEAMS
        self._counters.increment(name, team + suffix, amount)
