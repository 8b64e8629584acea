"""Marks in the store on hosts that their data centre no longer hears.

A host that starts waits for an answer of each listed host of its data centre
before it grants tokens of limits (``core/quotas/rules.py``). One that is gone
for good would delay each later start, so a host that remains marks its entry.
"""

import asyncio
from collections.abc import Mapping

from knapweedtally.core.groups import distribution
from knapweedtally.entry.common import logs
from knapweedtally.entry.common import supervision
from knapweedtally.entry.fleet import host_registration
from knapweedtally.entry.fleet import peers as peers_module
from knapweedtally.entry.fleet import store
from knapweedtally.platform import store_calls

# Interval of the checks, and after a failed call, in seconds.
CHECK_INTERVAL_S = 1.0
RETRY_INTERVAL_S = 5.0


def choose_writer(
    data_centre: str, live_hosts: Mapping[str, str]
) -> str | None:
    """Return the host that writes the marks of a data centre."""
    local = [name for name, where in live_hosts.items() if where == data_centre]
    ranked = distribution.rank_distributors(data_centre, local)
    return ranked[0] if ranked else None


class SilentHosts:
    """Keep the marks on the hosts of one data centre."""

    def __init__(
        self,
        host: str,
        data_centre: str,
        peers: peers_module.Peers,
        client: store.StoreClient,
        log: logs.Log,
    ) -> None:
        """Create it without writing anything.

        Args:
            host: name of this host.
            data_centre: its data centre.
            peers: the other hosts.
            client: the store's client.
            log: where marks and failed calls are written.
        """
        self._host = host
        self._data_centre = data_centre
        self._peers = peers
        self._client = client
        self._log = log
        self._next_check_s = 0.0
        self._task: asyncio.Task[None] | None = None

    def check(self, now_s: float) -> None:
        """Write the marks that have changed, if this host is to write them."""
        if now_s < self._next_check_s or self._task is not None:
            return
        self._next_check_s = now_s + CHECK_INTERVAL_S
        writer = choose_writer(self._data_centre, self._peers.get_live_hosts())
        if writer != self._host:
            return
        marks = self._peers.list_wrong_marks(now_s)
        if marks:
            self._task = asyncio.create_task(self._write(marks, now_s))

    async def restore(self) -> None:
        """Read the marks again, so that those that the store lost are written.

        Raises:
            store.StoreError: a call failed or was refused.
            store_calls.MalformedResponse: a response can't be parsed.
        """
        for listed in await host_registration.list_hosts(self._client):
            self._peers.record_mark(listed.name, listed.is_silent)

    async def _write(self, marks: Mapping[str, bool], now_s: float) -> None:
        try:
            for name, is_silent in marks.items():
                await host_registration.mark_host(self._client, name, is_silent)
                self._peers.record_mark(name, is_silent)
                self._log.write("host_marked", name=name, is_silent=is_silent)
        except (store.StoreError, store_calls.MalformedResponse) as error:
            self._next_check_s = now_s + RETRY_INTERVAL_S
            self._log.write(
                "store_call_failed",
                kind=host_registration.HOSTS_KIND,
                reason=str(error),
            )
        except Exception as error:
            self._next_check_s = now_s + RETRY_INTERVAL_S
            supervision.report("silent hosts", error)
        finally:
            self._task = None
