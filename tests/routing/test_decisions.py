"""Tests of the choice of a target."""

import testtools

from knapweedtally.core import model
from knapweedtally.core import state as state_module
from knapweedtally.core.admission import state as admission_state
from knapweedtally.core.failover import detection
from knapweedtally.core.failover import state as failover_state
from knapweedtally.core.routing import decisions
from tests import factories

NOW = model.Moment(100.0, 0.5)


class SilentReplicaTest(testtools.TestCase):
    """Reads that accept replicas, when the replicas give no status."""

    def setUp(self) -> None:
        super().setUp()
        self.state = factories.make_state()
        group = self.state.directory.get_group(factories.GROUP)
        assert group is not None
        self.primary = decisions.find_primary(self.state, factories.GROUP)
        ids = [target.id for target in group.targets]
        self.replicas = [name for name in ids if name != self.primary]

    def choose(self, state: state_module.ProxyState) -> str:
        request = factories.make_request(
            admission_state.RequestKind.READ, 10_000, model.Position(1, 0)
        )
        return decisions.choose_target(state, NOW, request).target

    def record_observations(self, observer: str, reason: str) -> None:
        for target in self.replicas:
            self.state.failover.observations[target] = {
                observer: failover_state.Observation(reason, 1, 0, NOW.at)
            }

    def test_replica_is_chosen_while_it_answers(self) -> None:
        self.assertIn(self.choose(self.state), self.replicas)

    def test_primary_is_chosen_if_this_host_observes_silence(self) -> None:
        for target in self.replicas:
            self.state.failover.watches[target] = failover_state.Watch(
                factories.GROUP, NOW.at, reason=detection.TIMED_OUT
            )
        self.assertEqual(self.primary, self.choose(self.state))

    def test_primary_is_chosen_if_a_host_of_the_same_centre_observes_it(
        self,
    ) -> None:
        centre = self.state.identity.data_centre
        self.state.failover.assignment.hosts = {"near": centre}
        self.record_observations("near", detection.TIMED_OUT)
        self.assertEqual(self.primary, self.choose(self.state))

    def test_observation_of_another_data_centre_is_ignored(self) -> None:
        self.state.failover.assignment.hosts = {"far": "elsewhere"}
        self.record_observations("far", detection.TIMED_OUT)
        self.assertIn(self.choose(self.state), self.replicas)
