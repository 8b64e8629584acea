"""Tests of the pool of connections to one target."""

import asyncio
from unittest import mock

import testtools

from knapweedtally.core.groups import model
from knapweedtally.entry.common import clock
from knapweedtally.entry.common import logs
from knapweedtally.entry.pools import path_selection
from knapweedtally.entry.pools import pools
from tests.entry import harness


def make_pool(port: int) -> pools.Pool:
    """Return a pool of a target that refuses, as do two fallback hosts."""
    entry = mock.Mock(spec=model.TargetEntry)
    entry.group, entry.target, entry.data_centre = "g", "i-1", "dc"
    entry.address, entry.port = "127.0.0.1", port
    pool = pools.Pool(entry, 16, "tests", logs.Log("h", -1), lambda: None)
    pool.path_selector.fallback_hosts = (
        path_selection.RelayHost("h2", "127.0.0.1", port),
        path_selection.RelayHost("h3", "127.0.0.1", port),
    )
    return pool


class RetryTest(testtools.TestCase):
    """The rate of connection attempts to a target that can't be reached."""

    def test_attempts_keep_the_retry_delay(self) -> None:
        async def run() -> None:
            (port,) = harness.find_ports(1)
            pool = make_pool(port)
            now_s = 100.0
            attempts: list[float] = []
            loop = asyncio.get_running_loop()

            async def refuse(*_: object) -> None:
                attempts.append(now_s)
                raise ConnectionRefusedError

            with (
                mock.patch.object(clock, "get_time_s", lambda: now_s),
                mock.patch.object(loop, "create_connection", refuse),
            ):
                for _ in range(100):
                    pool.tick(now_s)
                    for _ in range(20):
                        await asyncio.sleep(0)
                    now_s += 0.05
                pool.close()
            # Two at the start, since a fallback host is tried at once.
            self.assertLessEqual(len(attempts), 2 + 5.0 / pools.RETRY_DELAY_S)
            self.assertGreater(len(attempts), 10)

        asyncio.run(run())
