"""Tests of teams' limits on entry hosts, run against the stand-ins."""

import asyncio
import math
import re
from unittest import mock

import testtools

from knapweedtally.core.quotas import messages
from knapweedtally.core.quotas import rules
from knapweedtally.core.quotas import slices
from knapweedtally.entry.common import clock
from knapweedtally.entry.limits import quota_messages
from tests.entry import harness

TEAM = "t1"
OVER = re.compile(r"ERROR BUSY over the team's limit; retry after \d+ ms")


async def start(
    system: harness.System, hosts: int, rate: float, burst: float
) -> list[harness.EntryHost]:
    """Start hosts with quotas and a configuration with one team."""
    platform = system.platform
    make_settings, put = platform.make_settings, platform.store.put

    def make_quota_settings(host, ports):
        content = make_settings(host, ports)
        content["contracts"] = ["tenants", "quota"]
        # Without a tolerance there is no allowance besides the tokens.
        content["bounds"] |= {"quotaExcess": 0, "quotaSlack": 0}
        return content

    def put_with_team(kind, name, spec):
        if kind == "config":
            team = {"name": TEAM, "apiKeys": ["k"]}
            spec["tenants"] = [
                {**team, "ratePerS": rate, "burst": burst},
                {"name": "unlimited", "apiKeys": ["k2"]},
            ]
        put(kind, name, spec)

    platform.make_settings = make_quota_settings
    platform.store.put = put_with_team
    platform.write_configuration()
    entries = [await harness.add_host(system) for _ in range(hosts)]
    for entry in entries:
        await harness.wait_for(entry.host.is_ready)
    return entries


async def open_caller(entry: harness.EntryHost) -> harness.Caller:
    """Connect a caller of the team."""
    caller = harness.Caller(entry.port)
    await caller.start("g-primary", "k")
    return caller


class LimitTest(testtools.TestCase):
    @harness.with_system(hosts=0)
    async def test_hosts_share_a_limit(self, system: harness.System) -> None:
        # Without a common bucket each host would grant the burst again.
        entries = await start(system, 3, 1.0, 6.0)
        await asyncio.sleep(rules.SETTLING_TIME_S + 7.0)
        callers = [await open_caller(entry) for entry in entries]
        found = []
        for _ in range(6):
            for caller in callers:
                found.append((await caller.run("READ item"))[0])
        served = found.count("ROW -")
        # The bucket holds the burst, and some tokens flow in meanwhile.
        self.assertIn(served, range(5, 10))
        refused = [line for line in found if OVER.fullmatch(line)]
        self.assertEqual(len(found), served + len(refused))
        lines = [
            line
            for entry in entries
            for line in entry.find_lines("quota_refused")
        ]
        self.assertEqual(len(refused), len(lines))
        self.assertEqual({TEAM}, {line["team"] for line in lines})

    @harness.with_system(hosts=0)
    async def test_transaction_takes_one_token(
        self, system: harness.System
    ) -> None:
        # Statements inside a transaction must not be refused halfway.
        (entry,) = await start(system, 1, 0.001, 100.0)
        caller = await open_caller(entry)
        self._lend(entry, 1)
        for text in ("BEGIN", "WRITE a 1", "READ a", "WRITE b 2", "COMMIT"):
            answer = await caller.run(text)
            self.assertFalse(answer[0].startswith("ERROR"), answer)
        answer = await caller.run("READ a")
        self.assertThat(answer[0], testtools.matchers.StartsWith("ERROR BUSY"))
        other = harness.Caller(entry.port)
        await other.start("g-primary", "k2")
        self.assertEqual("ROW 1", (await other.run("READ a"))[0])

    @harness.with_system(hosts=0)
    async def test_queued_operation_needs_a_token_that_is_valid(
        self, system: harness.System
    ) -> None:
        # Otherwise what a failover holds up exceeds the limit at its end.
        (entry,) = await start(system, 1, 0.001, 100.0)
        caller = await open_caller(entry)
        self._lend(entry, 1)
        router = entry.host.routers["g"]
        with mock.patch.object(router, "_place_request"):
            await caller.send("READ item")
            await asyncio.sleep(rules.LEASE_S + 0.1)
        answer = await caller.receive()
        self.assertThat(answer[0], testtools.matchers.StartsWith("ERROR BUSY"))

    @harness.with_system(hosts=0)
    async def test_token_of_a_refused_operation_is_returned(
        self, system: harness.System
    ) -> None:
        (entry,) = await start(system, 1, 0.001, 100.0)
        caller = await open_caller(entry)
        self._lend(entry, 1)
        router = entry.host.routers["g"]
        with mock.patch.object(router, "_place_request"):
            await caller.send("READ item")
            await harness.wait_for(lambda: router.queue_length == 1)
            caller.close()
            await harness.wait_for(lambda: router.queue_length == 0)
        quotas = entry.host.quotas
        self.assertIsNotNone(quotas.take_at_hand(TEAM, clock.get_time_s()))

    @harness.with_system()
    async def test_nothing_is_limited_without_quotas(
        self, system: harness.System
    ) -> None:
        entry = system.entry_hosts[0]
        caller = await open_caller(entry)
        for _ in range(20):
            self.assertEqual("ROW -", (await caller.run("READ item"))[0])
        self.assertEqual([], entry.find_lines("quota_refused"))

    def _lend(self, entry: harness.EntryHost, count: int) -> None:
        """Give a host tokens for its next operations."""
        quotas = entry.host.quotas
        quotas.tick(clock.get_time_s())
        expires_s = clock.get_time_s() + rules.LEASE_S
        for _ in range(count):
            quotas.give_back(TEAM, expires_s)


class PayloadTest(testtools.TestCase):
    LIMIT = slices.Limit(3, 195.0, 100.0)
    ASK = messages.Ask(5, TEAM, LIMIT, 2, 1)
    LEND = messages.Lend(5, TEAM, messages.Reply.EMPTY, 1, 0.25, 0.12, LIMIT)

    def test_messages_are_read_as_written(self) -> None:
        payload = quota_messages.encode_ask(self.ASK)
        self.assertEqual(self.ASK, quota_messages.decode_ask(payload))
        payload = quota_messages.encode_lend(self.LEND)
        self.assertEqual(self.LEND, quota_messages.decode_lend(payload))

    def test_malformed_payloads_are_refused(self) -> None:
        # A wrong type would fail later, in the midst of a change.
        values = (
            None,
            -1,
            True,
            math.nan,
            math.inf,
            "",
            [],
            2**70,
            b"x",
            10**400,
        )
        for encoded, decode in (
            (quota_messages.encode_ask(self.ASK), quota_messages.decode_ask),
            (quota_messages.encode_lend(self.LEND), quota_messages.decode_lend),
        ):
            bad = [None, {}, "x", encoded[:-1], [*encoded, 1]]
            bad += [
                [*encoded[:n], value, *encoded[n + 1 :]]
                for n in range(len(encoded))
                for value in values
            ]
            for payload in bad:
                self.assertRaises(
                    quota_messages.MalformedPayload, decode, payload
                )
