"""Tests of observers, probes, records, rules and checks."""

import hypothesis
import testtools
from hypothesis import strategies

from knapweedtally.core import effects
from knapweedtally.core import events
from knapweedtally.core import model
from knapweedtally.core import reducer
from knapweedtally.core import state as state_module
from knapweedtally.core.failover import checks
from knapweedtally.core.failover import detection
from knapweedtally.core.failover import limits
from knapweedtally.core.failover import observers
from knapweedtally.core.failover import records
from knapweedtally.core.failover import rules

SETTINGS = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=50, database=None
)
HOSTS = strategies.dictionaries(
    strategies.sampled_from([f"h{number}" for number in range(12)]),
    strategies.sampled_from(["dc0", "dc1", "dc2", "dc3"]),
    min_size=1,
)


def make_group(count: int = 3, centres: int = 3) -> model.Group:
    targets = tuple(
        model.Target(f"t{number}", "127.0.0.1", 1, f"dc{number % centres}")
        for number in range(count)
    )
    return model.Group("records", targets)


def make_state(hosts: dict[str, str], host: str) -> state_module.ProxyState:
    state = state_module.ProxyState(state_module.Identity(host, hosts[host], 1))
    group = make_group(12)
    state.directory.bundle = model.Bundle(1, "", {group.name: group})
    state.membership.live = dict(hosts)
    observers.refresh(state, 0.0)
    return state


class ObserversTest(testtools.TestCase):
    @SETTINGS
    @hypothesis.given(HOSTS)
    def test_all_hosts_agree_and_spread(self, hosts: dict[str, str]) -> None:
        states = {host: make_state(hosts, host) for host in hosts}
        for target in make_group(12).targets:
            found = {
                observers.list_observers(state, target.id)
                for state in states.values()
            }
            self.assertEqual(1, len(found))
            chosen = found.pop()
            wanted = min(limits.OBSERVERS, len(hosts))
            self.assertEqual(wanted, len(set(chosen)))
            centres = {hosts[host] for host in chosen}
            self.assertEqual(
                min(wanted, len(set(hosts.values()))), len(centres)
            )
            watching = {
                host
                for host, state in states.items()
                if target.id in state.failover.watches
            }
            self.assertEqual(set(chosen), watching)

    @SETTINGS
    @hypothesis.given(HOSTS, HOSTS)
    def test_change_of_hosts_equals_a_fresh_start(
        self, old: dict[str, str], new: dict[str, str]
    ) -> None:
        host = "own"
        old, new = {**old, host: "dc0"}, {**new, host: "dc0"}
        state = make_state(old, host)
        state.membership.live = dict(new)
        observers.refresh(state, 1.0)
        fresh = make_state(new, host)
        self.assertEqual(
            set(fresh.failover.watches), set(state.failover.watches)
        )

    def test_ranks_are_unique(self) -> None:
        hosts = {f"h{number}": f"dc{number % 3}" for number in range(9)}
        ranks = [
            observers.get_rank(make_state(hosts, host), "records", 7)
            for host in hosts
        ]
        self.assertEqual(list(range(9)), sorted(ranks))


class ProbesTest(testtools.TestCase):
    def make_observing_state(self) -> state_module.ProxyState:
        state = make_state({"h0": "dc0"}, "h0")
        state.directory.records["records"] = model.GroupRecord(
            1, 1, model.Phase.OPEN, "t0", "h0-1-1"
        )
        return state

    def list_probes(self, result: list[effects.Effect]) -> list[str]:
        return [
            effect.target
            for effect in result
            if isinstance(effect, effects.ProbeTarget)
        ]

    def tick(self, state: state_module.ProxyState, at: float) -> list[str]:
        moment = model.Moment(at, 0.5)
        return self.list_probes(reducer.decide(state, moment, events.Ticked()))

    def test_one_probe_in_flight(self) -> None:
        state = self.make_observing_state()
        self.assertEqual(12, len(self.tick(state, 2.0)))
        self.assertEqual([], self.tick(state, 3.0))

    def test_primary_is_probed_more_often(self) -> None:
        state = self.make_observing_state()
        counts = {"t0": 0, "t1": 0}
        for step in range(20, 120):
            for target in self.tick(state, step / 10):
                report = model.TargetReport(target, 1, 1, 0, target == "t0")
                answer = events.ProbeAnswered(report, "t0", 1, 1, 1.0)
                reducer.decide(state, model.Moment(step / 10, 0.5), answer)
                if target in counts:
                    counts[target] += 1
        self.assertGreaterEqual(counts["t0"], 3 * counts["t1"])
        self.assertEqual(10, counts["t1"])

    def test_lost_connection_triggers_a_probe_at_once(self) -> None:
        state = self.make_observing_state()
        moment = model.Moment(0.0, 0.5)
        found = detection.probe_after_connection_loss(state, moment, "t0")
        self.assertEqual(["t0"], self.list_probes(found))
        self.assertEqual(
            [],
            detection.probe_after_connection_loss(state, moment, "elsewhere"),
        )

    def test_two_consecutive_refusals_publish_a_verdict(self) -> None:
        state = self.make_observing_state()
        moment = model.Moment(2.0, 0.5)
        failure = events.ProbeFailed("t1", True)
        first = reducer.decide(state, moment, failure)
        self.assertEqual(["t1"], self.list_probes(first))
        self.assertEqual("", state.failover.watches["t1"].reason)
        second = reducer.decide(state, moment, failure)
        registers = [
            effect.register
            for effect in second
            if isinstance(effect, effects.PublishRegister)
        ]
        self.assertEqual(["t1@h0"], [item.name for item in registers])
        self.assertEqual("refused", registers[0].value["reason"])

    def test_malformed_registers_change_nothing(self) -> None:
        state = self.make_observing_state()
        moment = model.Moment(2.0, 0.5)
        for kind, name, value in (
            ("observation", "t0", {}),
            ("observation", "t0@h9", {"reason": 3}),
            ("group", "records", {"term": "x"}),
            ("group", "records", {"term": 9, "phase": "shut"}),
        ):
            register = model.Register(kind, name, (9, 1, 9), value)
            reducer.decide(state, moment, events.RegisterSeen(register))
        self.assertEqual({}, state.failover.observations)
        self.assertEqual(1, state.directory.records["records"].term)


class RecordsTest(testtools.TestCase):
    def test_value_and_register_round_trip(self) -> None:
        record = model.GroupRecord(7, 3, model.Phase.OPEN, "t1", "h1-1-1", "t2")
        value = records.format_value(record)
        self.assertEqual(record, records.parse_record(7, value))
        register = records.format_register("records", record)
        self.assertEqual((3, 1, 7), register.version)
        self.assertEqual(record, records.parse_register(register))

    def test_older_records_are_ignored(self) -> None:
        state = make_state({"h0": "dc0"}, "h0")
        open_record = model.GroupRecord(5, 2, model.Phase.OPEN, "t1", "h1-1-1")
        electing = open_record._replace(phase=model.Phase.ELECTING, version=9)
        older = open_record._replace(term=1, version=8)
        for record in (open_record, electing, older):
            register = records.format_register("records", record)
            event = events.RegisterSeen(register)
            reducer.decide(state, model.Moment(0.0, 0.5), event)
        self.assertEqual(open_record, state.directory.records["records"])


class RulesTest(testtools.TestCase):
    @SETTINGS
    @hypothesis.given(
        strategies.dictionaries(
            strategies.sampled_from(["t0", "t1", "t2", "t3", "t4"]),
            strategies.tuples(
                strategies.integers(0, 3), strategies.integers(0, 3)
            ),
            min_size=3,
        )
    )
    def test_choice_is_the_most_advanced_of_a_majority(
        self, found: dict[str, tuple[int, int]]
    ) -> None:
        group = make_group(5)
        fenced = {name: model.Position(*last) for name, last in found.items()}
        chosen = rules.choose_primary(group, fenced, "t4", "t0")
        behind = [
            name for name, last in fenced.items() if last <= fenced[chosen]
        ]
        self.assertGreaterEqual(len(behind), 3)
        others = fenced.keys() - {"t0"}
        if len(others) >= 3:
            newest = max(fenced[name] for name in others)
            self.assertEqual(newest, fenced[chosen])

    def test_checks_name_the_remedy(self) -> None:
        self.assertEqual([], checks.check_group(make_group()))
        small = make_group(2)
        self.assertIn("at least 3", checks.check_group(small)[0])
        leaving = make_group()._replace(leaving=frozenset({"t0", "t1"}))
        self.assertIn("fewer leave", checks.check_group(leaving)[0])
        together = make_group(3, centres=1)
        self.assertIn("spread", checks.check_group(together)[0])
