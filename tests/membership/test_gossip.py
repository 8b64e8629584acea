"""Differential tests of gossip between hosts under faults."""

from typing import NamedTuple
from unittest import mock

import hypothesis
import testtools
from hypothesis import strategies

from knapweedtally.core import effects
from knapweedtally.core import events
from knapweedtally.core import model
from knapweedtally.core import reducer
from knapweedtally.core.membership import events as membership_events
from knapweedtally.core.membership import gossip
from knapweedtally.core.membership import messages
from knapweedtally.core.membership import registers
from tests.membership import naive
from tests.membership import network

SIZES = [3, 3]
KINDS = ["group", "target", "observation"]


class Publication(NamedTuple):
    """A register that one host publishes after a delay."""

    wait_s: float
    host: int
    register: model.Register


class Plan(NamedTuple):
    """One test run: the faults, a partition and the publications."""

    seed: int
    loss: float
    repeats: float
    is_ordered: bool
    cut_hosts: frozenset[int]
    publications: list[Publication]


PLANS = strategies.builds(
    Plan,
    seed=strategies.integers(0, 1000),
    loss=strategies.sampled_from([0.0, 0.1, 0.5]),
    repeats=strategies.sampled_from([0.0, 0.3]),
    is_ordered=strategies.booleans(),
    cut_hosts=strategies.frozensets(strategies.integers(0, 5), max_size=3),
    publications=strategies.lists(
        strategies.builds(
            Publication,
            strategies.sampled_from([0.0, 0.05, 0.5]),
            strategies.integers(0, 5),
            strategies.builds(
                naive.build_register,
                strategies.sampled_from(KINDS),
                strategies.sampled_from(["a", "b"]),
                strategies.tuples(
                    strategies.integers(0, 2), strategies.integers(0, 3)
                ),
            ),
        ),
        max_size=12,
    ),
)


def read_registers(
    node: network.Node,
) -> dict[tuple[str, str], model.Register]:
    return {
        key: entry.register
        for key, entry in node.state.membership.store.entries.items()
        if key[0] != "host"
    }


def run_plan(plan: Plan) -> network.Network:
    """Publish under faults, then remove them and wait for agreement."""
    net = network.Network(plan.seed, SIZES)
    names = list(net.nodes)
    net.run(2.0)
    net.faults.loss = plan.loss
    net.faults.repeats = plan.repeats
    net.faults.is_ordered = plan.is_ordered
    net.faults.latency_s = (0.001, 0.3)
    cut = {names[number] for number in plan.cut_hosts}
    net.drop_messages(cut, set(names) - cut)
    for publication in plan.publications:
        net.run(publication.wait_s)
        event = membership_events.RegisterPublished(publication.register)
        net.submit(names[publication.host], event)
    net.run(2.0)
    net.faults = network.Faults()
    expected = naive.pick_highest(
        publication.register for publication in plan.publications
    )
    net.run_until(
        lambda: all(
            read_registers(node) == expected for node in net.list_live()
        ),
        limit_s=120.0,
    )
    return net


class GossipTest(testtools.TestCase):
    @hypothesis.settings(derandomize=True, deadline=None, max_examples=40)
    @hypothesis.given(PLANS)
    def test_all_hosts_agree_on_the_highest_versions_after_faults_end(
        self, plan: Plan
    ) -> None:
        net = run_plan(plan)
        expected = naive.pick_highest(
            publication.register for publication in plan.publications
        )
        for node in net.list_live():
            self.assertEqual(expected, read_registers(node))

    def test_an_older_register_wins_without_the_version_check(self) -> None:
        old = naive.build_register("group", "a", (1, 0))
        new = naive.build_register("group", "a", (2, 0))
        publications = [Publication(0.0, 0, new), Publication(0.5, 3, old)]
        plan = Plan(1, 0.0, 0.0, True, frozenset(), publications)
        patch = mock.patch.object(registers, "is_newer", return_value=True)
        with patch, testtools.ExpectedException(RuntimeError):
            self._check_newest_is_kept(plan, new)
        self._check_newest_is_kept(plan, new)

    def _check_newest_is_kept(self, plan: Plan, newest: model.Register) -> None:
        net = network.Network(plan.seed, SIZES)
        net.run(2.0)
        names = list(net.nodes)
        for publication in plan.publications:
            net.run(publication.wait_s)
            event = membership_events.RegisterPublished(publication.register)
            net.submit(names[publication.host], event)
            for node in net.list_live():
                register = read_registers(node).get(("group", "a"), newest)
                if register != newest:
                    raise RuntimeError("an older register replaced a newer")


class DeltasTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.net = network.Network(1, [3])
        self.net.run(2.0)
        self.name = "dc1-h1"
        self.state = self.net.nodes[self.name].state

    def submit(self, event: object) -> list[effects.Effect]:
        moment = model.Moment(self.net.now, 0.5)
        return reducer.decide(self.state, moment, event)

    def receive(self, register: model.Register) -> list[effects.Effect]:
        message = messages.Deltas((register,))
        return self.submit(
            membership_events.PeerMessageReceived("dc1-h2", message)
        )

    def test_a_new_register_is_forwarded_but_not_to_its_source(self) -> None:
        seen = []

        def handle(state: object, moment: object, event: object) -> list:
            seen.append(event)
            return []

        register = naive.build_register("group", "a", (1,))
        handlers = {
            **reducer.HANDLERS,
            events.RegisterSeen: (handle,),
        }
        with mock.patch.object(reducer, "HANDLERS", handlers):
            first = self.receive(register)
            second = self.receive(register)
        self.assertEqual([events.RegisterSeen(register)], seen)
        receivers = {effect.host for effect in first}
        self.assertEqual({"dc1-h3"}, receivers)
        self.assertEqual([], second)

    def test_messages_are_bounded_and_the_rest_follows(self) -> None:
        count = gossip.MAX_DELTAS_PER_MESSAGE + 10
        for number in range(count):
            register = naive.build_register("target", f"t{number}", (1, 1))
            self.submit(membership_events.RegisterPublished(register))
        sizes = []
        for _ in range(2):
            self.net.now += 0.1
            for effect in self.submit(events.Ticked()):
                if isinstance(effect, effects.SendToPeer) and isinstance(
                    effect.message, messages.Deltas
                ):
                    sizes.append(len(effect.message.registers))
        bound = gossip.MAX_DELTAS_PER_MESSAGE
        self.assertEqual([bound, bound, 10, 10], sizes)

    def test_an_oversized_register_is_refused_with_a_warning(self) -> None:
        value: dict[str, object] = {"x": "y" * registers.MAX_REGISTER_BYTES}
        register = model.Register("bundle", "current", (1,), value)
        result = self.submit(membership_events.RegisterPublished(register))
        self.assertEqual(["warning"], [effect.level for effect in result])
        self.assertNotIn(
            ("bundle", "current"), self.state.membership.store.entries
        )

    def test_a_chain_of_raised_events_is_bounded(self) -> None:
        def handle(state: object, moment: object, event: object) -> list:
            return [effects.RaiseEvent(event)]

        handlers = {events.Ticked: (handle,)}
        with (
            mock.patch.object(reducer, "HANDLERS", handlers),
            testtools.ExpectedException(RuntimeError),
        ):
            self.submit(events.Ticked())
