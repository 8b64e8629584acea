"""Tests of the peers adapter over loopback sockets."""

import functools
import random
import time
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any
from unittest import mock

import anyio
import hypothesis
import testtools
from hypothesis import strategies
from websockets import exceptions
from websockets.asyncio import client

from knapweedtally.admin import remote_decisions
from knapweedtally.core import effects
from knapweedtally.core import model
from knapweedtally.core.explanations import decisions as explanations
from knapweedtally.core.membership import events as membership_events
from knapweedtally.core.membership import messages
from knapweedtally.peers import codec
from knapweedtally.peers import errors
from knapweedtally.peers import link as link_module
from knapweedtally.peers import messages as peer_messages
from tests.membership import naive
from tests.peers import hosts as peer_hosts

Host = peer_hosts.Host
wait_until = peer_hosts.wait_until
FRAMES = strategies.one_of(
    strategies.binary(max_size=64),
    strategies.text(max_size=16),
    strategies.sampled_from(
        [
            codec.encode_message(messages.Heartbeat()),
            codec.encode_message(messages.ProbeRequest("nobody")),
            codec.encode_message(peer_messages.DecisionRequest("x")),
            bytes(codec.MAX_MESSAGE_BYTES + 1),
        ]
    ),
)


def run(test: Callable[[Any], Awaitable[None]]) -> Callable[[Any], None]:
    """Run an asynchronous test to completion."""

    @functools.wraps(test)
    def wrapper(self: Any) -> None:
        anyio.run(test, self)

    return wrapper


def build_hello(
    token: str = peer_hosts.TOKEN,
    host: str = "raw",
    purpose: peer_messages.Purpose = peer_messages.Purpose.LINK,
) -> bytes:
    return codec.encode_message(peer_messages.Hello(token, host, 1, purpose))


def connect_raw(host: Host) -> Any:
    address, port = host.adapter.address
    return client.connect(
        f"ws://{address}:{port}/",
        compression=None,
        proxy=None,
        close_timeout=0.1,
    )


async def send_frames(host: Host, frames: list[Any]) -> None:
    """Send frames and read until the connection closes or for 0.02 seconds."""
    async with connect_raw(host) as socket:
        try:
            for frame in frames:
                await socket.send(frame)
            with anyio.move_on_after(0.02):
                while True:
                    await socket.recv()
        except exceptions.ConnectionClosed:
            pass


async def read_close_reason(socket: Any) -> str:
    """Read until the peer closes the connection and return its reason."""
    with anyio.fail_after(peer_hosts.TIMEOUT_S):
        while True:
            try:
                await socket.recv()
            except exceptions.ConnectionClosed as error:
                return link_module.describe_close(error)


class PeersAdapterTest(testtools.TestCase):
    @run
    async def test_hosts_discover_each_other_and_share_registers(self) -> None:
        hosts = [
            Host("a", "127.0.1.1"),
            Host("b", "127.0.1.2"),
            Host("c", "127.0.2.1"),
        ]
        register = naive.build_register("group", "g", (1,))
        key = ("group", "g")
        async with peer_hosts.run_hosts(*hosts):
            await wait_until(
                lambda: all(
                    len(host.state.membership.live) == 3 for host in hosts
                )
            )
            hosts[2].loop.submit(membership_events.RegisterPublished(register))
            await wait_until(
                lambda: all(
                    key in host.state.membership.store.entries for host in hosts
                )
            )
            for host in hosts:
                entry = host.state.membership.store.entries[key]
                self.assertEqual(register, entry.register)

    @run
    async def test_hosts_that_connect_to_each_other_keep_one_link(self) -> None:
        first, second = Host("a", "127.0.1.1"), Host("b", "127.0.1.2")
        async with peer_hosts.run_hosts(first, second):
            for _ in range(5):
                for host, other in ((first, second), (second, first)):
                    host.adapter.run_effect(
                        effects.OpenLink("", *other.adapter.address)
                    )
                await anyio.sleep(0.05)
            await wait_until(
                lambda: (
                    first.list_peers() == {"b"} and second.list_peers() == {"a"}
                )
            )

    @run
    async def test_restarted_host_is_linked_again(self) -> None:
        first, second = Host("a", "127.0.1.1"), Host("b", "127.0.1.2")
        async with peer_hosts.run_hosts(first, second) as tasks:
            await wait_until(lambda: first.list_peers() == {"b"})
            port = second.adapter.address[1]
            second.scope.cancel()
            await wait_until(lambda: first.list_peers() == set())
            restarted = Host("b", "127.0.1.2", port, incarnation=2)
            await tasks.start(restarted.serve, (first.seed,))
            await wait_until(lambda: restarted.list_peers() == {"a"})
            await wait_until(
                lambda: (
                    "b" in first.state.membership.hosts
                    and first.state.membership.hosts["b"].incarnation == 2
                )
            )

    @run
    async def test_host_with_a_wrong_token_is_refused(self) -> None:
        first = Host("a", "127.0.1.1")
        wrong = Host("b", "127.0.1.2", token="another-token-here")
        async with peer_hosts.run_hosts(first, wrong):
            failed = []
            wrong.adapter._submit = failed.append
            wrong.adapter.run_effect(
                effects.OpenLink("", *first.adapter.address)
            )
            await wait_until(lambda: failed)
            self.assertIn("wrong token", failed[0].reason)
            self.assertEqual(set(), first.list_peers())

    @run
    async def test_host_of_the_same_name_is_refused(self) -> None:
        first, second = Host("a", "127.0.1.1"), Host("a", "127.0.1.2")
        async with peer_hosts.run_hosts(first, second):
            async with connect_raw(first) as socket:
                await socket.send(build_hello(host="a"))
                reason = await read_close_reason(socket)
            self.assertIn("both hosts are named a", reason)

    @run
    async def test_link_to_a_slow_peer_is_closed_when_its_queue_is_full(
        self,
    ) -> None:
        host = Host("a", "127.0.1.1")
        incompressible = random.Random(1).randbytes(100_000)
        value: dict[str, object] = {"x": incompressible}
        large_register = model.Register("bundle", "current", (1,), value)
        effect = effects.SendToPeer("raw", messages.Deltas((large_register,)))
        async with peer_hosts.run_hosts(host), connect_raw(host) as socket:
            await socket.send(build_hello())
            await wait_until(lambda: host.list_peers() == {"raw"})
            link = host.adapter._links["raw"]
            for _ in range(1000):
                host.adapter.run_effect(effect)
                self.assertLessEqual(
                    link._queued_bytes, link_module.MAX_QUEUE_BYTES
                )
            self.assertIn("send queue is full", link.reason)
            await wait_until(lambda: host.list_peers() == set())

    @run
    async def test_decision_is_fetched_from_another_host(self) -> None:
        first, second = Host("a", "127.0.1.1"), Host("b", "127.0.2.1")
        async with peer_hosts.run_hosts(first, second):
            await wait_until(lambda: "b" in first.state.membership.hosts)
            decision_id = explanations.record_decision(
                second.state,
                model.Moment(time.monotonic() - 100.0, 0.5),
                "routing",
                "request 1",
                "t1",
                "it is near",
                position=model.Position(1, 2),
            )
            found = await first.adapter.fetch_decision("b", decision_id)
            self.assertEqual("it is near", found.reason)
            self.assertEqual({"position": [1, 2]}, found.evidence)
            self.assertIsNone(await first.adapter.fetch_decision("b", "b-1-99"))
            fetch = remote_decisions.PeerDecisionFetcher(first.adapter)
            shown = await fetch("b", decision_id)
            self.assertEqual(decision_id, shown["id"])
            self.assertGreaterEqual(shown["ago_ms"], 100_000)
            self.assertIsNone(await fetch("b", "b-1-99"))
            self.assertIsNone(await fetch("nobody", "nobody-1-1"))
            with testtools.ExpectedException(errors.UnknownHostError):
                await first.adapter.fetch_decision("nobody", "nobody-1-1")
            second.scope.cancel()
            await wait_until(lambda: first.list_peers() == set())
            with testtools.ExpectedException(errors.PeerUnreachableError):
                await first.adapter.fetch_decision("b", decision_id)


class InvalidInputTest(testtools.TestCase):
    @run
    async def test_invalid_input_closes_the_connection_with_a_reason(
        self,
    ) -> None:
        host = Host("a", "127.0.1.1")
        hello = build_hello()
        too_long = bytes(codec.MAX_MESSAGE_BYTES + 1)
        cases: list[tuple[list[Any], str]] = [
            ([b"\xff"], "not valid CBOR"),
            (["text"], "text frames"),
            ([build_hello(token="wrong")], "wrong token"),
            ([codec.encode_message(messages.Heartbeat())], "no greeting"),
            ([hello, b"\x80"], "no list"),
            ([hello, "text"], "text frames"),
            ([hello, hello], "not for an open link"),
            ([hello, too_long], "exceeds"),
        ]
        async with peer_hosts.run_hosts(host):
            for frames, expected in cases:
                async with connect_raw(host) as socket:
                    for frame in frames:
                        await socket.send(frame)
                    reason = await read_close_reason(socket)
                self.assertIn(expected, reason)
                await wait_until(lambda: host.list_peers() == set())

    @run
    async def test_message_that_fails_in_the_reducer_closes_only_its_link(
        self,
    ) -> None:
        host = Host("a", "127.0.1.1")
        async with peer_hosts.run_hosts(host):
            async with connect_raw(host) as socket:
                await socket.send(build_hello())
                await wait_until(lambda: host.list_peers() == {"raw"})
                with mock.patch.object(
                    host.adapter, "_submit", side_effect=ValueError
                ):
                    await socket.send(
                        codec.encode_message(messages.Heartbeat())
                    )
                    reason = await read_close_reason(socket)
            self.assertIn("not handled", reason)

    def test_adapter_accepts_links_after_random_frames(self) -> None:
        @hypothesis.settings(derandomize=True, deadline=None, max_examples=40)
        @hypothesis.given(
            strategies.lists(
                strategies.tuples(
                    strategies.booleans(),
                    strategies.lists(FRAMES, max_size=4),
                ),
                max_size=3,
            )
        )
        def check(connections: list[tuple[bool, list[Any]]]) -> None:
            anyio.run(self._check_frames, connections)

        check()

    async def _check_frames(
        self, connections: list[tuple[bool, list[Any]]]
    ) -> None:
        first, second = Host("a", "127.0.1.1"), Host("b", "127.0.1.2")
        async with peer_hosts.run_hosts(first) as tasks:
            for sends_hello, frames in connections:
                hello_frames = [build_hello()] if sends_hello else []
                await send_frames(first, hello_frames + frames)
            await tasks.start(second.serve, (first.seed,))
            await wait_until(lambda: second.list_peers() == {"a"})
