"""Tests of one attempt on a target connection."""

import json
from typing import Any

import anyio
import testtools
from pygwire import messages

from knapweedtally.core import effects
from knapweedtally.core import model
from knapweedtally.targets import attempt
from knapweedtally.targets import wire


class FakeBatch:
    def render(self, prepared: set[str]) -> bytes:
        return b""

    def digest(self) -> str:
        return ""


class FakeConnection:
    """Connection that answers a read and then its barrier, in term 2."""

    def __init__(self, is_primary: bool) -> None:
        self.prepared: set[str] = set()
        self._is_primary = is_primary

    async def exchange(self, data: bytes, count: int) -> list[wire.Section]:
        value = {"term": 2, "offset": 7, "is_primary": self._is_primary}
        row = messages.DataRow(columns=[json.dumps(value).encode()])
        role = "p" if self._is_primary else "r"
        return [
            wire.Section([], f"2/5/0/{role}", "", "I"),
            wire.Section([row.to_wire()], "", "", "I"),
        ]


class BarrierTest(testtools.TestCase):
    def read(self, is_primary: bool) -> attempt.AttemptResult:
        effect = effects.RunStatement(1, 1, "fog-1-a", 1, True, True, "")
        connection: Any = FakeConnection(is_primary)
        return anyio.run(
            attempt.run_attempt, connection, effect, FakeBatch(), "clerk", 100
        )

    def test_barrier_on_a_primary_confirms_its_position(self):
        self.assertEqual(model.Position(2, 7), self.read(True).confirmed)

    def test_barrier_on_a_replica_confirms_nothing(self):
        # A former primary that replicates from the new one answers the
        # barrier at once. Its data may lack commits that the new primary has
        # acknowledged, so its answer must not count as a confirmation.
        self.assertIsNone(self.read(False).confirmed)
