"""Tests of roll-outs against the platform stand-in process."""

import random
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any

import anyio
import testtools

from knapweedtally.management import roll_outs
from knapweedtally.store import client as platform_client
from tests.bundles import test_decisions
from tests.store import stand_in

ROUNDS = 12
Outcome = roll_outs.Outcome


class LossyClient(platform_client.PlatformClient):
    """Lose the response of the first update after running a callback."""

    def __init__(
        self, port: int, run_after_update: Callable[[], Awaitable[Any]]
    ) -> None:
        super().__init__(("127.0.0.1", port))
        self._run_after_update: Callable[[], Awaitable[Any]] | None = (
            run_after_update
        )

    async def update_object(
        self,
        kind: str,
        name: str,
        expected_version: int,
        value: dict[str, object],
    ) -> platform_client.UpdateResult:
        result = await super().update_object(
            kind, name, expected_version, value
        )
        if self._run_after_update:
            run_after_update, self._run_after_update = (
                self._run_after_update,
                None,
            )
            await run_after_update()
            raise platform_client.ResponseLostError("lost by the test")
        return result


async def roll_out(
    client: platform_client.PlatformClient,
    value: dict[str, Any],
    operation: str,
    timeout_s: float = stand_in.TIMEOUT_S,
    is_retry: bool = False,
) -> roll_outs.Result:
    attempt = roll_outs.RollOut(
        client, value, operation, random.Random(1), is_retry=is_retry
    )
    return await attempt.run(timeout_s)


def run_on_platform(
    body: Callable[[platform_client.PlatformClient, int], Awaitable[None]],
) -> None:
    async def run(port: int) -> None:
        client = platform_client.PlatformClient(("127.0.0.1", port))
        await body(client, port)
        await client.close()

    with stand_in.run_platform() as port:
        anyio.run(run, port)


async def set_faults(port: int, **faults: object) -> None:
    caller = stand_in.Caller(port)
    await caller.call("POST", "/faults", faults)
    await caller.client.close()


class RollOutTest(testtools.TestCase):
    def test_one_of_two_concurrent_roll_outs_is_accepted(self) -> None:
        async def body(
            client: platform_client.PlatformClient, port: int
        ) -> None:
            for version in range(1, ROUNDS + 1):
                # The number of slots identifies the bundle of each operator.
                values = {
                    slots: test_decisions.make_signed(version, slots)
                    for slots in (1, 2)
                }
                results: dict[int, roll_outs.Result] = {}

                async def race(
                    slots: int,
                    values: dict[int, Any] = values,
                    results: dict[int, roll_outs.Result] = results,
                    version: int = version,
                ) -> None:
                    operation = f"{version}-{slots}"
                    results[slots] = await roll_out(
                        client, values[slots], operation
                    )

                await set_faults(port, lose_answers=version % 3)
                async with anyio.create_task_group() as group:
                    group.start_soon(race, 1)
                    group.start_soon(race, 2)
                outcomes = {
                    result.outcome: slots for slots, result in results.items()
                }
                self.assertEqual(
                    {Outcome.ACCEPTED, Outcome.REFUSED}, set(outcomes)
                )
                loser = results[outcomes[Outcome.REFUSED]]
                self.assertEqual((version, "ana"), loser[1:3])
                current = await client.get_object("bundle", "current")
                winner = values[outcomes[Outcome.ACCEPTED]]
                self.assertEqual(winner["groups"], current.value["groups"])

        run_on_platform(body)

    def test_lost_response_is_resolved_after_the_next_roll_out(self) -> None:
        async def body(
            client: platform_client.PlatformClient, port: int
        ) -> None:
            async def roll_out_next_version() -> None:
                value = test_decisions.make_signed(2)
                follower = await roll_out(client, value, "follower")
                self.assertEqual(Outcome.ACCEPTED, follower.outcome)

            lossy = LossyClient(port, roll_out_next_version)
            value = test_decisions.make_signed(1)
            result = await roll_out(lossy, value, "first")
            self.assertEqual((Outcome.ACCEPTED, 1), result[:2])
            await lossy.close()

        run_on_platform(body)
        # Without the stored operations, the accepted roll-out is reported as
        # refused.
        self.patch(roll_outs, "_get_operations", lambda _: {})
        self.assertRaises(AssertionError, run_on_platform, body)

    def test_version_out_of_sequence_is_refused(self) -> None:
        async def body(
            client: platform_client.PlatformClient, port: int
        ) -> None:
            steps = [(1, Outcome.ACCEPTED), (3, Outcome.REFUSED)]
            steps += [(1, Outcome.REFUSED), (2, Outcome.ACCEPTED)]
            for number, (version, outcome) in enumerate(steps):
                value = test_decisions.make_signed(version)
                result = await roll_out(client, value, f"op-{number}")
                self.assertEqual(outcome, result.outcome, number)

        run_on_platform(body)

    def test_second_change_of_a_group_is_refused(self) -> None:
        async def body(
            client: platform_client.PlatformClient, port: int
        ) -> None:
            first = test_decisions.make_signed(1)
            targets = first["groups"][0]["targets"]
            added = {**targets[0], "id": "new", "address": "127.0.3.9:5432"}
            replaced = {
                **test_decisions.make_signed(2),
                "groups": [
                    {**first["groups"][0], "targets": [*targets[1:], added]},
                    *first["groups"][1:],
                ],
            }
            extended = {
                **replaced,
                "groups": [
                    {**first["groups"][0], "targets": [*targets, added]},
                    *first["groups"][1:],
                ],
            }
            removed = {**replaced, "version": 3}
            for value, expected in (
                (first, Outcome.ACCEPTED),
                (replaced, Outcome.REFUSED),
                (extended, Outcome.ACCEPTED),
                (removed, Outcome.ACCEPTED),
            ):
                operation = f"{value['version']} {expected.value}"
                result = await roll_out(client, value, operation)
                self.assertEqual(expected, result.outcome, result.message)
                if expected is Outcome.REFUSED:
                    self.assertIn("groups.0.targets", result.message)
                    self.assertIn("new", result.message)

        run_on_platform(body)

    def test_outage_is_not_sent_and_lost_response_is_unknown(
        self,
    ) -> None:
        async def body(
            client: platform_client.PlatformClient, port: int
        ) -> None:
            value = test_decisions.make_signed(1)
            await set_faults(port, mode="down")
            result = await roll_out(client, value, "op", timeout_s=0.2)
            self.assertEqual(Outcome.NOT_SENT, result.outcome)
            await set_faults(port, mode="up")

            async def stop_platform() -> None:
                await set_faults(port, mode="down")

            lossy = LossyClient(port, stop_platform)
            result = await roll_out(lossy, value, "op", timeout_s=1.0)
            self.assertEqual(Outcome.UNKNOWN, result.outcome)
            self.assertIn("--operation op", result.message)
            await set_faults(port, mode="up")
            retried = await roll_out(client, value, "op", is_retry=True)
            self.assertEqual(Outcome.ACCEPTED, retried.outcome)
            current = await client.get_object("bundle", "current")
            self.assertEqual(1, current.version)
            await lossy.close()

        run_on_platform(body)

    def test_operation_dropped_from_the_history_is_unknown(self) -> None:
        async def body(
            client: platform_client.PlatformClient, port: int
        ) -> None:
            for version in range(1, roll_outs.MAX_KEPT_OPERATIONS + 2):
                value = test_decisions.make_signed(version)
                await roll_out(client, value, f"op-{version}")
            for version, outcome in (
                (1, Outcome.UNKNOWN),
                (2, Outcome.ACCEPTED),
            ):
                value = test_decisions.make_signed(version)
                result = await roll_out(
                    client, value, f"op-{version}", is_retry=True
                )
                self.assertEqual(outcome, result.outcome)
            reused = await roll_out(
                client, test_decisions.make_signed(18, 3), "op-17"
            )
            self.assertEqual(Outcome.REFUSED, reused.outcome)

        run_on_platform(body)
