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
    """Answer a read of a replica of term 2, then its barrier."""

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
    def read(self, is_primary: bool) -> attempt.Result:
        effect = effects.RunStatement(1, 1, "fog-1-a", 1, True, True, "")
        connection: Any = FakeConnection(is_primary)
        return anyio.run(
            attempt.run_attempt, connection, effect, FakeBatch(), "clerk", 100
        )

    def test_barrier_of_a_primary_confirms(self):
        self.assertEqual(model.Position(2, 7), self.read(True).confirmed)

    def test_barrier_of_a_replica_confirms_nothing(self):
        # A replaced primary that follows the next one answers at once; its
        # data may lack what that one acknowledged.
        self.assertIsNone(self.read(False).confirmed)
