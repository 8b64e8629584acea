"""Exchange of the configuration between hosts while the store is silent."""

import asyncio
import json
import random
from collections.abc import Callable
from typing import Any

from knapweedtally.core.groups import catalog as catalog_module
from knapweedtally.core.teams import version_exchange
from knapweedtally.entry.common import clock
from knapweedtally.entry.common import logs
from knapweedtally.entry.fleet import peers as peers_module
from knapweedtally.platform import line_protocol
from knapweedtally.platform import records
from knapweedtally.platform import store_calls
from knapweedtally.utils import bounded_json

# Kinds of the datagrams; their payload is the sender's version.
QUESTION_KIND = "configuration-ask"
OFFER_KIND = "configuration-have"

# Time for a fetch, in seconds. 250 kB take 0.4 s on the slowest link.
FETCH_TIMEOUT_S = 2.0

# Largest configuration that is fetched, with room for the framing.
MAX_FETCHED_BYTES = store_calls.MAX_ANSWER_BYTES + 64 * 1024

_READ_BYTES = 64 * 1024


class FetchError(Exception):
    """Another host did not send a usable configuration.

    The text never quotes what was received, which may contain keys.
    """


class ConfigurationExchange:
    """Bring a host the newer configuration of another host.

    Attributes:
        source: the newest configuration as its writer stored it, encoded as
            JSON, or None.
        confirmed_s: time at which another host's configuration was applied,
            or None.
    """

    def __init__(
        self,
        catalog: catalog_module.Catalog,
        peers: peers_module.Peers,
        own_host: str,
        log: logs.Log,
        apply: Callable[[Any], bool],
        is_store_silent: Callable[[float], bool],
    ) -> None:
        """Create an exchange that sends nothing before its first tick.

        Args:
            catalog: has the configuration in force.
            peers: exchanges datagrams with the other hosts.
            own_host: name of this host.
            log: where fetches are written.
            apply: applies a decoded configuration of another host if it is
                valid and newer, and returns whether it did.
            is_store_silent: returns whether the store fails to answer.
        """
        self.source: bytes | None = None
        self.confirmed_s: float | None = None
        self._catalog = catalog
        self._peers = peers
        self._own_host = own_host
        self._log = log
        self._apply = apply
        self._is_store_silent = is_store_silent
        self._state = version_exchange.State()
        self._random = random.Random()
        self._fetch_task: asyncio.Task[None] | None = None
        peers.add_listener(QUESTION_KIND, self._receive_question)
        peers.add_listener(OFFER_KIND, self._receive_offer)

    def tick(self, now_s: float) -> None:
        """Ask other hosts and fetch from them while the store is silent."""
        state = self._state
        is_silent = self._is_store_silent(now_s)
        version_exchange.record_silence(state, is_silent, now_s)
        if not is_silent:
            return
        hosts = [h for h in self._peers.get_live_hosts() if h != self._own_host]
        self._random.shuffle(hosts)
        version = self._get_version()
        for host in version_exchange.choose_hosts_to_ask(
            state, hosts, version, now_s
        ):
            self._peers.send_extension(host, QUESTION_KIND, version)
        self._start_fetch(now_s)

    def is_first_expected(self, now_s: float) -> bool:
        """Return whether another host may soon bring a configuration."""
        return version_exchange.is_first_expected(self._state, now_s)

    def record_applied(self, spec: Any) -> None:
        """Keep a version that came into force, and offer it.

        Only digests of the keys are kept: whoever reaches the relay port can
        fetch what is kept.
        """
        passed_on = records.replace_keys(spec)
        self.source = json.dumps(passed_on, separators=(",", ":")).encode()
        for host in version_exchange.take_hosts_to_notify(
            self._state, self._get_version(), clock.get_time_s()
        ):
            self._offer(host)

    def get_source(self) -> bytes | None:
        """Return the configuration in force for another host, or None."""
        return self.source

    def close(self) -> None:
        """Cancel a running fetch."""
        if self._fetch_task is not None:
            self._fetch_task.cancel()

    def _get_version(self) -> int:
        configuration = self._catalog.configuration
        if configuration is None:
            return version_exchange.NO_VERSION
        return configuration.version

    def _offer(self, host: str) -> None:
        self._peers.send_extension(host, OFFER_KIND, self._get_version())

    def _receive_question(self, host: str, payload: Any, now_s: float) -> None:
        version = version_exchange.parse_version(payload)
        if version is None:
            self._log.write(
                "peer_message_broken",
                reason=f"{QUESTION_KIND}: expected a version",
            )
        elif version_exchange.receive_question(
            self._state, host, version, self._get_version(), now_s
        ):
            self._offer(host)

    def _receive_offer(self, host: str, payload: Any, now_s: float) -> None:
        version = version_exchange.parse_version(payload)
        if version is None:
            self._log.write(
                "peer_message_broken",
                reason=f"{OFFER_KIND}: expected a version",
            )
            return
        version_exchange.receive_offer(self._state, host, version, now_s)
        self._start_fetch(now_s)

    def _start_fetch(self, now_s: float) -> None:
        host = version_exchange.take_fetch(
            self._state, self._get_version(), now_s
        )
        if host is not None:
            self._fetch_task = asyncio.get_running_loop().create_task(
                self._fetch(host)
            )

    async def _fetch(self, host: str) -> None:
        """Fetch and apply a host's configuration."""
        try:
            async with asyncio.timeout(FETCH_TIMEOUT_S):
                data = await self._download(host)
            spec = self._decode(data)
            is_applied = self._apply(spec)
            if is_applied:
                self.confirmed_s = clock.get_time_s()
            self._log.write(
                "configuration_fetched",
                source=host,
                version=self._get_version(),
                is_applied=is_applied,
            )
        except Exception as error:
            reason = (
                str(error)
                if isinstance(error, FetchError)
                else type(error).__name__
            )
            self._log.write(
                "configuration_not_fetched", source=host, reason=reason
            )
        finally:
            version_exchange.end_fetch(self._state)

    async def _download(self, host: str) -> bytes:
        address = self._peers.find_host_address(host)
        if address is None:
            raise FetchError("the host's address is unknown")
        reader, writer = await asyncio.open_connection(*address)
        try:
            writer.write(
                line_protocol.CONFIGURATION_REQUEST + line_protocol.TERMINATOR
            )
            answers = line_protocol.AnswerReader()
            size = 0
            while data := await reader.read(_READ_BYTES):
                size += len(data)
                if size > MAX_FETCHED_BYTES:
                    raise FetchError("the configuration is too large")
                for answer in answers.feed(data):
                    if answer.code is not None:
                        raise FetchError(f"refused as {answer.code.name}")
                    return line_protocol.join_rows(answer.rows)
            raise FetchError("the host closed the connection")
        finally:
            writer.close()

    def _decode(self, data: bytes) -> Any:
        try:
            return bounded_json.decode(data)
        except ValueError:
            # The context would quote what was received.
            raise FetchError("the configuration is not JSON") from None
