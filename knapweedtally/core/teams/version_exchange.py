"""When a host asks other hosts for a newer configuration, and whom.

Hosts whose store doesn't answer ask a few live hosts for their version, and
fetch the configuration from one that has a newer version. A host that was
asked while it had no newer version tells the asking host as soon as it has
one, so that a version spreads within a few datagrams and not within as many
intervals.
"""

import dataclasses
from collections.abc import Sequence
from typing import Any

# Version of a host that has no configuration; versions are never negative.
NO_VERSION = -1

# Interval at which a host asks, in seconds, and the number of hosts it asks.
ASK_INTERVAL_S = 1.0
HOSTS_PER_ASK = 2

# Number of hosts that a host without any configuration asks: the first copy
# that it applies is what it serves by.
HOSTS_PER_FIRST_ASK = 8

# Time for answers before a host without any configuration fetches the newest
# one that it was offered, in seconds.
FIRST_OFFERS_S = 0.15

# Time for which a host that asked is told of a newer version, in seconds. A
# host that still lacks it asks again sooner.
NOTIFY_S = 2.5

# Hosts that are remembered as having asked, or as having offered a version.
# Datagrams with invented names must not fill the memory.
MAX_HOSTS = 256

# Time for which callers wait for a first configuration from another host,
# in seconds: two rounds of asking and a fetch.
EXPECTATION_S = 2.5


@dataclasses.dataclass(slots=True)
class State:
    """What a host knows of the versions of other hosts.

    Attributes:
        silent_since_s: since when the store has not answered, or None.
        next_ask_s: earliest time of the next question.
        first_offer_s: time of the oldest offer that is kept.
        offers: newer versions that other hosts have, by host.
        askers: by host that asked and had no older version than this one, the
            version that it had and the time at which it asked.
        is_fetching: whether a fetch is running.
    """

    silent_since_s: float | None = None
    next_ask_s: float = 0.0
    first_offer_s: float = 0.0
    offers: dict[str, int] = dataclasses.field(default_factory=dict)
    askers: dict[str, tuple[int, float]] = dataclasses.field(
        default_factory=dict
    )
    is_fetching: bool = False


def parse_version(payload: Any) -> int | None:
    """Return the version in a message's payload, or None if it is malformed."""
    if type(payload) is not int or payload < NO_VERSION:
        return None
    return payload


def record_silence(state: State, is_silent: bool, now_s: float) -> None:
    """Record whether the store fails to answer.

    What other hosts offered is discarded once the store answers.
    """
    if not is_silent:
        state.silent_since_s = None
        state.offers.clear()
    elif state.silent_since_s is None:
        state.silent_since_s = now_s
        state.next_ask_s = now_s


def choose_hosts_to_ask(
    state: State, hosts: Sequence[str], own_version: int, now_s: float
) -> Sequence[str]:
    """Return the hosts to ask now, which may be none.

    Args:
        state: the state; records that they are asked.
        hosts: the other live hosts in random order.
        own_version: version in force, or ``NO_VERSION``.
        now_s: the time.
    """
    if state.silent_since_s is None or now_s < state.next_ask_s or not hosts:
        return ()
    state.next_ask_s = now_s + ASK_INTERVAL_S
    is_first = own_version == NO_VERSION
    return hosts[: HOSTS_PER_FIRST_ASK if is_first else HOSTS_PER_ASK]


def receive_question(
    state: State, host: str, version: int, own_version: int, now_s: float
) -> bool:
    """Return whether to offer the own version to a host that asks.

    Args:
        state: the state; a host that gets no offer now gets one later.
        host: the host that asks.
        version: the version that it has.
        own_version: version in force, or ``NO_VERSION``.
        now_s: the time.
    """
    state.askers = {
        name: asker
        for name, asker in state.askers.items()
        if name != host and now_s - asker[1] <= NOTIFY_S
    }
    if own_version > version:
        return True
    if len(state.askers) < MAX_HOSTS:
        state.askers[host] = (version, now_s)
    return False


def take_hosts_to_notify(
    state: State, own_version: int, now_s: float
) -> list[str]:
    """Return the hosts that asked and lack a version that came into force."""
    due = [
        host
        for host, (version, asked_s) in state.askers.items()
        if version < own_version and now_s - asked_s <= NOTIFY_S
    ]
    state.askers = {
        host: asker
        for host, asker in state.askers.items()
        if host not in due and now_s - asker[1] <= NOTIFY_S
    }
    return due


def receive_offer(state: State, host: str, version: int, now_s: float) -> None:
    """Record which version a host has; ignored while the store answers."""
    if state.silent_since_s is None or len(state.offers) >= MAX_HOSTS:
        return
    if not state.offers:
        state.first_offer_s = now_s
    state.offers[host] = version


def take_fetch(state: State, own_version: int, now_s: float) -> str | None:
    """Return the host from which to fetch now, or None.

    The caller has to call ``end_fetch`` afterwards. An offer is used once: a
    host whose fetch failed has to offer its version again.
    """
    state.offers = {
        host: version
        for host, version in state.offers.items()
        if version > own_version
    }
    if state.is_fetching or state.silent_since_s is None or not state.offers:
        return None
    is_first = own_version == NO_VERSION
    if is_first and now_s - state.first_offer_s < FIRST_OFFERS_S:
        return None
    host = max(state.offers, key=lambda name: state.offers[name])
    del state.offers[host]
    state.is_fetching = True
    return host


def end_fetch(state: State) -> None:
    """Record that a fetch has ended, successfully or not."""
    state.is_fetching = False


def is_first_expected(state: State, now_s: float) -> bool:
    """Return whether another host may soon bring a first configuration."""
    if state.is_fetching or state.offers:
        return True
    since_s = state.silent_since_s
    return since_s is None or now_s - since_s < EXPECTATION_S
