"""Tests of the position that the last primary's log has to reach."""

from unittest import mock

import testtools

from knapweedtally.core.groups import last_primary
from knapweedtally.core.groups import model
from knapweedtally.core.groups import sharing
from knapweedtally.entry.common import clock
from knapweedtally.entry.members import observer

EMPTY = model.Position(0, 0)
REACHED = model.Position(3, 7)


class FloorTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.pool = mock.Mock(received=EMPTY, is_answering=True)
        self.pool.get_newest_position = lambda: self.pool.received
        self.observer = observer.Observer(
            "g", {"p": self.pool}, mock.Mock(), lambda: None
        )

    def test_primary_known_from_another_host_has_a_position(self) -> None:
        # A host that never asked the primary recorded position 0, which a
        # target that started again with nothing reaches.
        shared = sharing.SharedEvidence("g", "p", 3, 0.0, 0.0, 0.0, REACHED)
        self.observer.merge_evidence(shared, clock.get_time_s())
        found = self.observer.last_primary
        self.assertEqual(last_primary.LastPrimary("p", 3, REACHED), found)

    def test_seen_position_counts_besides_the_recorded_one(self) -> None:
        # Commits after the change of primary are lost with a log that ends
        # between the recorded position and the one that was seen since.
        recorded = last_primary.LastPrimary("p", 3, model.Position(3, 2))
        self.observer.take_last_primary(recorded)
        self.observer.known_term = 3
        self.pool.received = REACHED
        found = self.observer.find_last_primary()
        self.assertEqual(recorded._replace(position=REACHED), found)
