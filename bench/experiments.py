"""The stated experiments: what runs, under which load and faults."""

from collections.abc import Callable
from typing import Any
from typing import NamedTuple

from bench import cluster
from bench import faults
from bench import load
from bench import runs
from bench import systems
from bench import workload

LAG_MS = 50
FAULT_AT_S = 3.0
OUTAGE_S = 10.0
SERVICE_MS = 10.0
SLOTS = 2
# Statements a second that one target runs with the values above.
CAPACITY = SLOTS * 1000 / SERVICE_MS
OVERLOAD = 3.0
LIGHT_CALLERS = 60
ONE_GROUP = cluster.Layout(groups=("fog-1",))
THREE_GROUPS = cluster.Layout(groups=("fog-1", "fog-2", "fog-3"))
# Without keys and transactions, which the baselines don't offer alike.
PLAIN = workload.Mix(keyed_share=0.0, transaction_share=0.0)


class Experiment(NamedTuple):
    """Describe one experiment.

    Attributes:
        title: what is compared, in one line.
        runs: one for each system, measured in turns.
        rounds: slices of each run.
    """

    title: str
    runs: tuple[runs.Run, ...]
    rounds: int = 1


def measure(experiment: Experiment) -> dict[str, Any]:
    """Run an experiment and return its results."""
    return {
        "title": experiment.title,
        "rounds": experiment.rounds,
        "runs": runs.measure_pair(experiment.runs, experiment.rounds),
    }


def make_share_experiments() -> list[Experiment]:
    """Compare replica shares and stale reads while replicas lag."""
    return [
        _compare(
            f"replica share at {LAG_MS} ms of apply lag, 1 write to 9 reads,"
            f" {think_ms} ms between statements",
            load.Plan(
                rate=rate,
                duration_s=6.0,
                warm_up_s=1.0,
                sessions=24,
                mix=PLAIN._replace(visit_reads=9, think_ms=think_ms),
            ),
            adjust={"apply_lag_ms": LAG_MS},
        )
        for think_ms, rate in ((0, 10.0), (100, 10.0), (500, 4.0))
    ]


def make_cost_experiments() -> list[Experiment]:
    """Compare latency and processor time of one statement."""
    plan = load.Plan(
        rate=250.0,
        duration_s=6.0,
        warm_up_s=1.0,
        sessions=10,
        mix=PLAIN._replace(roam_share=0.0),
    )
    current = plan._replace(mix=plan.mix._replace(max_age_ms=0))
    kinds = (systems.DIRECT, systems.NAIVE, systems.PROXY)
    return [
        _compare("cost of a statement, 1 write to 9 reads", plan, kinds, 3),
        Experiment(
            "cost of a statement, reads of current data at the primary",
            (_make_run(systems.PROXY, current),),
        ),
    ]


def make_throughput_experiments() -> list[Experiment]:
    """Find what one proxy process carries."""
    made = []
    for sessions in (8, 16):
        plan = load.Plan(
            rate=0.0,
            duration_s=6.0,
            sessions=sessions,
            mix=PLAIN._replace(roam_share=0.0),
        )
        experiment = _compare(
            f"throughput of one proxy process, {3 * sessions} sessions"
            " without pause",
            plan,
            layout=THREE_GROUPS,
            entry_limit=1,
        )
        made.append(experiment)
    return made


def make_failover_experiments() -> list[Experiment]:
    """Compare the time without writes after a fault of the primary."""
    plan = load.Plan(
        rate=150.0,
        duration_s=13.0,
        warm_up_s=1.0,
        sessions=24,
        mix=PLAIN._replace(write_share=0.5),
    )
    kill = faults.Fault(FAULT_AT_S, "kill", "fog-1-a")
    freeze = faults.Fault(FAULT_AT_S, "freeze", "fog-1-a", for_s=6.0)
    switch = faults.Fault(FAULT_AT_S, "switch", "fog-1-b", group="fog-1")
    cut = faults.Fault(FAULT_AT_S, "cut", prefix="127.0.1.", for_s=6.0)
    return [
        _compare("failover gap, primary killed", plan, fault=kill),
        _compare("failover gap, primary frozen for 6 s", plan, fault=freeze),
        Experiment(
            "failover gap, data centre of the primary cut off for 6 s",
            (_make_run(systems.PROXY, plan, fault=cut),),
        ),
        Experiment(
            "failover gap, planned change",
            (_make_run(systems.PROXY, plan, fault=switch),),
        ),
    ]


def make_outage_experiments() -> list[Experiment]:
    """Compare the writes kept while the platform is down."""
    plan = load.Plan(
        rate=100.0,
        duration_s=FAULT_AT_S + OUTAGE_S + 2.0,
        sessions=24,
        mix=PLAIN._replace(write_share=0.5),
    )
    down = faults.Fault(
        FAULT_AT_S, "platform", value={"mode": "down"}, for_s=OUTAGE_S
    )
    title = f"platform down for {OUTAGE_S:.0f} s"
    return [_compare(title, plan, fault=down)]


def make_overload_experiments() -> list[Experiment]:
    """Bring three times the capacity of a primary onto one group.

    One caller has as many arrivals as all of the others together. There are
    enough sessions that arrivals don't wait in the load tool, even if each
    statement takes the whole of its deadline.
    """
    layout = ONE_GROUP._replace(
        target_options={"service-time-ms": SERVICE_MS, "slots": SLOTS},
        group_options={"slots": SLOTS},
    )
    mix = PLAIN._replace(write_share=0.0, roam_share=0.0, max_age_ms=0)
    closed = load.Plan(rate=0.0, duration_s=6.0, sessions=32, mix=mix)
    light = load.Plan(
        rate=CAPACITY * OVERLOAD / 2,
        duration_s=12.0,
        warm_up_s=8.0,
        sessions=1500,
        mix=mix,
        callers=LIGHT_CALLERS,
    )
    configuration = systems.Configuration("proxy", layout=layout)
    return [
        Experiment(
            "capacity of one primary, 32 sessions without pause",
            (runs.Run(configuration, {"closed": closed}),),
        ),
        Experiment(
            f"{OVERLOAD:g} times the capacity, half of it by one caller",
            (
                runs.Run(
                    configuration,
                    {
                        "light": light,
                        "heavy": light._replace(callers=1, seed=2),
                    },
                ),
            ),
        ),
    ]


EXPERIMENTS: dict[str, Callable[[], list[Experiment]]] = {
    "share": make_share_experiments,
    "cost": make_cost_experiments,
    "throughput": make_throughput_experiments,
    "failover": make_failover_experiments,
    "outage": make_outage_experiments,
    "overload": make_overload_experiments,
}


def _compare(
    title: str,
    plan: load.Plan,
    kinds: tuple[str, ...] = (systems.NAIVE, systems.PROXY),
    rounds: int = 1,
    **options: Any,
) -> Experiment:
    made = tuple(_make_run(kind, plan, **options) for kind in kinds)
    return Experiment(title, made, rounds)


def _make_run(
    kind: str,
    plan: load.Plan,
    layout: cluster.Layout = ONE_GROUP,
    entry_limit: int = 0,
    fault: faults.Fault | None = None,
    adjust: dict[str, Any] | None = None,
) -> runs.Run:
    return runs.Run(
        systems.Configuration(kind, kind, layout, entry_limit),
        {"load": plan},
        (fault,) if fault else (),
        adjust or {},
    )
