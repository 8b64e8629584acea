"""Definitions of the experiments: systems, loads and faults."""

from collections.abc import Callable
from typing import Any
from typing import NamedTuple

from bench import cluster
from bench import faults
from bench import load
from bench import runs
from bench import systems
from bench import workload

APPLY_LAG_MS = 50
FAULT_AT_S = 3.0
OUTAGE_S = 10.0
SERVICE_TIME_MS = 10.0
SLOTS = 2
# Statements per second that one target runs with the values above.
CAPACITY_PER_S = SLOTS * 1000 / SERVICE_TIME_MS
OVERLOAD_FACTOR = 3.0
LIGHT_CALLERS = 60
ONE_GROUP = cluster.Layout(groups=("fog-1",))
THREE_GROUPS = cluster.Layout(groups=("fog-1", "fog-2", "fog-3"))
# Mix without idempotency keys and transactions, which the baselines don't
# support in the same way.
PLAIN_MIX = workload.Mix(keyed_share=0.0, transaction_share=0.0)


class Experiment(NamedTuple):
    """Comparison of one or more runs.

    Attributes:
        title: description of the comparison in one line.
        runs: one run for each system, measured in turns.
        rounds: number of slices of each run.
    """

    title: str
    runs: tuple[runs.Run, ...]
    rounds: int = 1


def run_experiment(experiment: Experiment) -> dict[str, Any]:
    """Run an experiment and return its results."""
    return {
        "title": experiment.title,
        "rounds": experiment.rounds,
        "runs": runs.measure_in_turns(experiment.runs, experiment.rounds),
    }


def make_share_experiments() -> list[Experiment]:
    """Return experiments on replica share and stale reads with apply lag."""
    return [
        _make_comparison(
            f"replica share at {APPLY_LAG_MS} ms of apply lag,"
            f" 1 write to 9 reads, {think_ms} ms between statements",
            load.Plan(
                rate=rate,
                duration_s=6.0,
                warm_up_s=1.0,
                sessions=24,
                mix=PLAIN_MIX._replace(visit_reads=9, think_ms=think_ms),
            ),
            target_faults={"apply_lag_ms": APPLY_LAG_MS},
        )
        for think_ms, rate in ((0, 10.0), (100, 10.0), (500, 4.0))
    ]


def make_cost_experiments() -> list[Experiment]:
    """Return experiments on latency and processor time per statement."""
    plan = load.Plan(
        rate=250.0,
        duration_s=6.0,
        warm_up_s=1.0,
        sessions=10,
        mix=PLAIN_MIX._replace(roam_share=0.0),
    )
    current_data_plan = plan._replace(mix=plan.mix._replace(max_age_ms=0))
    kinds = (systems.DIRECT, systems.NAIVE, systems.PROXY)
    return [
        _make_comparison(
            "cost of a statement, 1 write to 9 reads", plan, kinds, 3
        ),
        Experiment(
            "cost of a statement, reads of current data at the primary",
            (_make_run(systems.PROXY, current_data_plan),),
        ),
    ]


def make_throughput_experiments() -> list[Experiment]:
    """Return experiments on the throughput of one proxy process."""
    throughput_experiments = []
    for sessions in (8, 16):
        plan = load.Plan(
            rate=0.0,
            duration_s=6.0,
            sessions=sessions,
            mix=PLAIN_MIX._replace(roam_share=0.0),
        )
        experiment = _make_comparison(
            f"throughput of one proxy process, {3 * sessions} sessions"
            " without pause",
            plan,
            layout=THREE_GROUPS,
            entry_host_limit=1,
        )
        throughput_experiments.append(experiment)
    return throughput_experiments


def make_failover_experiments() -> list[Experiment]:
    """Return experiments on the write gap after a fault of the primary."""
    plan = load.Plan(
        rate=150.0,
        duration_s=13.0,
        warm_up_s=1.0,
        sessions=24,
        mix=PLAIN_MIX._replace(write_share=0.5),
    )
    kill_fault = faults.Fault(FAULT_AT_S, "kill", "fog-1-a")
    freeze_fault = faults.Fault(FAULT_AT_S, "freeze", "fog-1-a", for_s=6.0)
    switch_fault = faults.Fault(FAULT_AT_S, "switch", "fog-1-b", group="fog-1")
    cut_fault = faults.Fault(FAULT_AT_S, "cut", prefix="127.0.1.", for_s=6.0)
    return [
        _make_comparison(
            "failover gap, primary killed", plan, fault=kill_fault
        ),
        _make_comparison(
            "failover gap, primary frozen for 6 s", plan, fault=freeze_fault
        ),
        Experiment(
            "failover gap, data centre of the primary cut off for 6 s",
            (_make_run(systems.PROXY, plan, fault=cut_fault),),
        ),
        Experiment(
            "failover gap, planned change",
            (_make_run(systems.PROXY, plan, fault=switch_fault),),
        ),
    ]


def make_outage_experiments() -> list[Experiment]:
    """Return an experiment on writes during an outage of the platform."""
    plan = load.Plan(
        rate=100.0,
        duration_s=FAULT_AT_S + OUTAGE_S + 2.0,
        sessions=24,
        mix=PLAIN_MIX._replace(write_share=0.5),
    )
    outage = faults.Fault(
        FAULT_AT_S, "platform", value={"mode": "down"}, for_s=OUTAGE_S
    )
    title = f"platform down for {OUTAGE_S:.0f} s"
    return [_make_comparison(title, plan, fault=outage)]


def make_overload_experiments() -> list[Experiment]:
    """Return experiments on an overloaded primary.

    The load is ``OVERLOAD_FACTOR`` times the capacity of the primary. One
    caller sends as many arrivals as all the others together. The number of
    sessions is large enough that arrivals don't queue in the load tool, even
    if every statement runs until its deadline.
    """
    layout = ONE_GROUP._replace(
        target_options={"service-time-ms": SERVICE_TIME_MS, "slots": SLOTS},
        group_options={"slots": SLOTS},
    )
    mix = PLAIN_MIX._replace(write_share=0.0, roam_share=0.0, max_age_ms=0)
    closed_loop_plan = load.Plan(rate=0.0, duration_s=6.0, sessions=32, mix=mix)
    light_plan = load.Plan(
        rate=CAPACITY_PER_S * OVERLOAD_FACTOR / 2,
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
            (runs.Run(configuration, {"closed": closed_loop_plan}),),
        ),
        Experiment(
            f"{OVERLOAD_FACTOR:g} times the capacity, half of it by one caller",
            (
                runs.Run(
                    configuration,
                    {
                        "light": light_plan,
                        "heavy": light_plan._replace(callers=1, seed=2),
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


def _make_comparison(
    title: str,
    plan: load.Plan,
    kinds: tuple[str, ...] = (systems.NAIVE, systems.PROXY),
    rounds: int = 1,
    **options: Any,
) -> Experiment:
    compared_runs = tuple(_make_run(kind, plan, **options) for kind in kinds)
    return Experiment(title, compared_runs, rounds)


def _make_run(
    kind: str,
    plan: load.Plan,
    layout: cluster.Layout = ONE_GROUP,
    entry_host_limit: int = 0,
    fault: faults.Fault | None = None,
    target_faults: dict[str, Any] | None = None,
) -> runs.Run:
    return runs.Run(
        systems.Configuration(kind, kind, layout, entry_host_limit),
        {"load": plan},
        (fault,) if fault else (),
        target_faults or {},
    )
