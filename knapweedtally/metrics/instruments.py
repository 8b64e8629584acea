"""Observable instruments that read the proxy's state at collection time."""

from collections.abc import Callable
from collections.abc import Iterable
from typing import NamedTuple

from opentelemetry import metrics as api

from knapweedtally.core import state as state_module
from knapweedtally.metrics import requests

Observations = Iterable[api.Observation]


class Sources(NamedTuple):
    """Objects that the instruments read.

    Attributes:
        state: state of the proxy; it is only read.
        requests: metrics of the completed requests.
    """

    state: state_module.ProxyState
    requests: requests.RequestMeter


class Instrument(NamedTuple):
    """Definition of one instrument.

    Attributes:
        name: name of the instrument.
        unit: unit in UCUM notation.
        description: what the instrument measures.
        observe: returns the current values.
    """

    name: str
    unit: str
    description: str
    observe: Callable[[Sources], Observations]


def create_instruments(meter: api.Meter, sources: Sources) -> None:
    """Create all instruments that read the proxy's state."""
    for create, instruments in (
        (meter.create_observable_counter, COUNTERS),
        (meter.create_observable_gauge, GAUGES),
    ):
        for instrument in instruments:
            callback = _make_callback(instrument, sources)
            create(
                instrument.name,
                [callback],
                instrument.unit,
                instrument.description,
            )


def _make_callback(
    instrument: Instrument, sources: Sources
) -> Callable[[api.CallbackOptions], Observations]:
    return lambda options: list(instrument.observe(sources))


def _observe_requests(sources: Sources) -> Observations:
    for (kind, outcome), count in sources.requests.counts.items():
        yield api.Observation(count, {"kind": kind, "outcome": outcome})


def _observe_reads(sources: Sources) -> Observations:
    return _observe_reads_by_role(sources, "reads by")


def _observe_eligible_reads(sources: Sources) -> Observations:
    return _observe_reads_by_role(sources, "eligible reads by")


def _observe_reads_by_role(sources: Sources, prefix: str) -> Observations:
    counters = sources.state.admission.counters
    for role in ("primary", "replica"):
        count = counters.get(f"{prefix} {role}", 0)
        yield api.Observation(count, {"served_by": role})


def _observe_retries(sources: Sources) -> Observations:
    counters = sources.state.admission.counters
    for reason, name in (
        ("not run or lost", "retried"),
        ("replica behind", "read again"),
    ):
        yield api.Observation(counters.get(name, 0), {"reason": reason})


def _observe_blocked_time(sources: Sources) -> Observations:
    for name, group_gaps in sources.requests.gaps.items():
        yield api.Observation(group_gaps.blocked_s, {"group": name})


def _observe_decisions(sources: Sources) -> Observations:
    yield api.Observation(sources.state.explanations.count)


def _observe_queue_lengths(sources: Sources) -> Observations:
    for key, queue in sources.state.admission.queues.items():
        needs = "primary" if key.is_primary else "any target"
        yield api.Observation(len(queue), {"group": key.group, "needs": needs})


def _observe_requests_in_flight(sources: Sources) -> Observations:
    yield api.Observation(len(sources.state.admission.requests))


def _observe_connections_in_use(sources: Sources) -> Observations:
    for target, count in sources.state.admission.leases_in_use.items():
        yield api.Observation(count, {"target": target})


def _observe_live_hosts(sources: Sources) -> Observations:
    yield api.Observation(len(sources.state.membership.live))


def _observe_open_links(sources: Sources) -> Observations:
    links = sources.state.membership.links.values()
    yield api.Observation(sum(link.is_open for link in links))


def _observe_bundle_version(sources: Sources) -> Observations:
    bundle = sources.state.directory.bundle
    yield api.Observation(bundle.version if bundle else 0)


COUNTERS = (
    Instrument(
        "knapweedtally.requests",
        "{request}",
        "requests with a final answer",
        _observe_requests,
    ),
    Instrument(
        "knapweedtally.reads",
        "{read}",
        "reads answered, by the role of the target",
        _observe_reads,
    ),
    Instrument(
        "knapweedtally.reads.eligible",
        "{read}",
        "reads answered that a replica was allowed to serve",
        _observe_eligible_reads,
    ),
    Instrument(
        "knapweedtally.attempts.retried",
        "{attempt}",
        "attempts that were made again",
        _observe_retries,
    ),
    Instrument(
        "knapweedtally.writes.blocked",
        "s",
        "time in which writes could not land",
        _observe_blocked_time,
    ),
    Instrument(
        "knapweedtally.decisions",
        "{decision}",
        "decision records made",
        _observe_decisions,
    ),
)
GAUGES = (
    Instrument(
        "knapweedtally.queue.length",
        "{request}",
        "requests that wait for a target",
        _observe_queue_lengths,
    ),
    Instrument(
        "knapweedtally.requests.in_flight",
        "{request}",
        "requests without a final answer",
        _observe_requests_in_flight,
    ),
    Instrument(
        "knapweedtally.connections.in_use",
        "{connection}",
        "connections lent to requests and transactions",
        _observe_connections_in_use,
    ),
    Instrument(
        "knapweedtally.hosts.live",
        "{host}",
        "entry hosts that count as live, this one among them",
        _observe_live_hosts,
    ),
    Instrument(
        "knapweedtally.links.open",
        "{link}",
        "open links to other entry hosts",
        _observe_open_links,
    ),
    Instrument(
        "knapweedtally.bundle.version",
        "1",
        "version of the bundle in force; 0 before the first one",
        _observe_bundle_version,
    ),
)
