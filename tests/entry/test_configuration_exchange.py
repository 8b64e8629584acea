"""Tests of hosts that get the configuration of other hosts."""

import asyncio
import functools
import json
from typing import Any

import testtools

from knapweedtally.core.groups import catalog
from knapweedtally.entry import host as host_module
from knapweedtally.entry.fleet import configuration_exchange
from knapweedtally.entry.fleet import watch_confirmations
from knapweedtally.platform import records
from knapweedtally.utils import http
from standins.line_platform import platform as platform_module
from tests.entry import harness

KEY, OTHER_KEY = "key-of-a-73f1", "key-of-b-52c8"
TEAMS = (
    platform_module.make_team("a", KEY),
    platform_module.make_team("b", OTHER_KEY),
)

with_hosts = functools.partial(harness.with_system, hosts=2, teams=TEAMS)


class SilentStore:
    """A client of a store that doesn't answer."""

    async def send(
        self, request: http.Request, timeout_s: float
    ) -> http.Response:
        await asyncio.sleep(0.01)
        raise http.HttpError("no answer")


async def cut_off(system: harness.System, entry: harness.EntryHost) -> None:
    """Separate a host from the store and wait until it notices."""
    client: Any = SilentStore()
    entry.host.store._client = client
    system.platform.store.abort_watches()
    await harness.wait_for(lambda: entry.host.store.is_unavailable)
    await asyncio.sleep(2 * host_module.TICK_INTERVAL_S)


def get_version(entry: harness.EntryHost) -> int:
    configuration = entry.host.catalog.configuration
    return configuration.version if configuration else 0


async def revoke_for_all_but(
    system: harness.System, entry: harness.EntryHost
) -> None:
    """Revoke a key while one host doesn't reach the store."""
    await cut_off(system, entry)
    system.platform.teams = [TEAMS[1]]
    system.platform.write_configuration()


async def exchange_raw(entry: harness.EntryHost, data: bytes) -> bytes:
    """Send bytes to a host's relay port and return all that it answers."""
    peers = entry._settings.peers
    assert peers is not None
    reader, writer = await asyncio.open_connection(peers.host, peers.port)
    writer.write(data)
    async with asyncio.timeout(harness.WAIT_TIMEOUT_S):
        answer = await reader.read()
    writer.close()
    return answer


def record_extensions(entry: harness.EntryHost) -> list[tuple[Any, ...]]:
    """Return the list to which a host's extension messages are added.

    Confirmations of the store's objects aren't among them.
    """
    sent: list[tuple[Any, ...]] = []
    send = entry.host.peers.send_extension

    def record(*message: Any) -> bool:
        if message[1] != watch_confirmations.CONFIRMATION_KIND:
            sent.append(message)
        return send(*message)

    peers: Any = entry.host.peers
    peers.send_extension = record
    return sent


class ConfigurationExchangeTest(testtools.TestCase):
    """Versions that reach a host through other hosts."""

    @with_hosts()
    async def test_host_without_the_store_learns_of_a_revoked_key(
        self, system: harness.System
    ) -> None:
        # Guards against a key that stays valid where the store is silent.
        entry = system.entry_hosts[1]
        caller = harness.Caller(entry.port)
        await caller.start("g-primary", KEY)
        await caller.run("READ item")
        await revoke_for_all_but(system, entry)
        await harness.wait_for(lambda: get_version(entry) == 6)
        answer = await caller.run("READ item")
        self.assertEqual(["ERROR NOAUTH the key was revoked"], answer)
        other_caller = harness.Caller(entry.port)
        await other_caller.start("g-primary", OTHER_KEY)
        self.assertIn("DONE", (await other_caller.run("READ item"))[-1])
        line = entry.find_lines("configuration_fetched")[0]
        self.assertEqual("host-0", line["source"])
        for host in system.entry_hosts:
            output = json.dumps(host.lines, default=str)
            self.assertNotIn(KEY, output)
            self.assertNotIn(OTHER_KEY, output)

    @with_hosts()
    async def test_nothing_is_sent_while_the_store_answers(
        self, system: harness.System
    ) -> None:
        # Guards against the cost of messages that nobody needs.
        sent = [record_extensions(entry) for entry in system.entry_hosts]
        system.platform.write_configuration()
        await asyncio.sleep(2.0)
        self.assertEqual([[], []], sent)

    @harness.with_system(hosts=2)
    async def test_nothing_is_sent_without_teams(
        self, system: harness.System
    ) -> None:
        # Guards against new messages in deployments without teams.
        sent = record_extensions(system.entry_hosts[1])
        await cut_off(system, system.entry_hosts[1])
        await asyncio.sleep(2.0)
        self.assertEqual([], sent)

    @with_hosts()
    async def test_older_copy_of_another_host_is_refused(
        self, system: harness.System
    ) -> None:
        # Guards against a revoked key that becomes valid again, even if the
        # other host announces a version that it doesn't have.
        newer, older = system.entry_hosts
        old_source = older.host.configuration.exchange.source
        await revoke_for_all_but(system, older)
        await harness.wait_for(lambda: get_version(older) == 6)
        older.host.configuration.exchange.source = old_source
        await cut_off(system, newer)
        older.host.peers.send_extension(
            "host-0", configuration_exchange.OFFER_KIND, 99
        )
        await harness.wait_for(
            lambda: newer.find_lines("configuration_fetched")
        )
        line = newer.find_lines("configuration_fetched")[0]
        self.assertFalse(line["is_applied"])
        self.assertEqual(6, get_version(newer))

    @with_hosts()
    async def test_malformed_messages_change_nothing(
        self, system: harness.System
    ) -> None:
        # Guards against messages that end a host or reach its logs.
        asked, asking = system.entry_hosts
        await cut_off(system, asking)
        secret = b"secret-of-another-host"
        sources = (
            b"\xff" + secret,
            b'["%b"]' % secret,
            b"[" * 100_000,
            b'{"version":99,"routes":"%b"}' % secret,
            b'{"version":"%b"}' % secret,
        )
        for count, source in enumerate(sources, 1):
            asked.host.configuration.exchange.source = source
            asked.host.peers.send_extension(
                "host-1", configuration_exchange.OFFER_KIND, 99
            )
            await harness.wait_for(
                lambda count=count: (
                    len(
                        asking.find_lines("configuration_fetched")
                        + asking.find_lines("configuration_not_fetched")
                    )
                    == count
                )
            )
        for kind in ("configuration-ask", "configuration-have"):
            for payload in (None, "6", [6], -7, True):
                asked.host.peers.send_extension("host-1", kind, payload)
        await harness.wait_for(
            lambda: len(asking.find_lines("peer_message_broken")) == 10
        )
        self.assertEqual(3, get_version(asking))
        self.assertNotIn(secret.decode(), str(asking.lines))

    @with_hosts()
    async def test_only_the_exact_request_is_answered(
        self, system: harness.System
    ) -> None:
        # Guards against a configuration sent in answer to another message.
        entry = system.entry_hosts[0]
        answer = await exchange_raw(entry, b"CONFIGURATION\r\n")
        self.assertEqual([b"ROW", b"DONE", b"READY"], split_words(answer))
        for request in (b"CONFIGURATION x\r\n", b"configuration\r\n"):
            answer = await exchange_raw(entry, request)
            self.assertEqual([b"ERROR"], split_words(answer))

    @with_hosts(hosts=1)
    async def test_large_configuration_arrives_whole(
        self, system: harness.System
    ) -> None:
        # Guards against a limit of a line that a large deployment exceeds.
        keys = [f"key-{number:030}" for number in range(30_000)]
        system.platform.teams = [platform_module.make_team("a", *keys)]
        system.platform.write_configuration()
        entry = system.entry_hosts[0]
        await harness.wait_for(lambda: get_version(entry) == 6)
        exchange = configuration_exchange.ConfigurationExchange(
            catalog.Catalog(),
            entry.host.peers,
            "host-0",
            entry.host.log,
            lambda spec: False,
            lambda now_s: False,
        )
        peers = entry._settings.peers
        assert peers is not None
        entry.host.peers.find_host_address = lambda host: tuple(peers)
        spec = json.loads(await exchange._download("host-0"))
        parsed = records.parse_configuration(spec)
        self.assertEqual(30_000, len(parsed.key_teams))


class StartTest(testtools.TestCase):
    """Hosts that start while the store doesn't answer them."""

    @with_hosts()
    async def test_starting_host_serves_by_the_copy_of_another_one(
        self, system: harness.System
    ) -> None:
        # Guards against callers refused although a host has a configuration,
        # and against a key that was revoked before the start.
        entry = system.entry_hosts[1]
        await revoke_for_all_but(system, entry)
        await harness.wait_for(lambda: get_version(system.entry_hosts[0]) == 6)
        entry.host.catalog.configuration = None
        answers = await asyncio.gather(
            *(
                harness.Caller(entry.port).start("g-primary", key)
                for key in (KEY, OTHER_KEY)
            )
        )
        self.assertEqual(
            ["ERROR NOAUTH the key belongs to no team", "READY I -"], answers
        )

    @with_hosts(hosts=1)
    async def test_callers_are_refused_once_no_configuration_is_expected(
        self, system: harness.System
    ) -> None:
        # Guards against callers that wait forever, and against a key that is
        # accepted before a configuration was read.
        entry = system.entry_hosts[0]
        await cut_off(system, entry)
        entry.host.catalog.configuration = None
        caller = harness.Caller(entry.port)
        answer = await caller.start("g-primary", KEY)
        self.assertIn("ERROR BUSY no configuration", answer)
        self.assertTrue(await caller.wait_for_close())


def split_words(answer: bytes) -> list[bytes]:
    """Return the first words of an answer's messages."""
    return [line.partition(b" ")[0] for line in answer.splitlines()]
