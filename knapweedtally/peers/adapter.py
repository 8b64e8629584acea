"""Links to other proxies: CBOR messages over websockets."""

import time
from collections.abc import Callable
from typing import Any

import anyio
import anyio.abc
import structlog
from websockets import exceptions
from websockets.asyncio import server

from knapweedtally.core import effects
from knapweedtally.core import state as state_module
from knapweedtally.core.explanations import decisions as explanations
from knapweedtally.core.explanations import state as explanations_state
from knapweedtally.core.membership import events
from knapweedtally.peers import codec
from knapweedtally.peers import errors
from knapweedtally.peers import handshake
from knapweedtally.peers import link as link_module
from knapweedtally.peers import messages
from knapweedtally.runtime import adapters

QUERY_TIMEOUT_S = 5.0

# While this many connection attempts are pending, further ones fail at once.
MAX_CONCURRENT_CONNECTS = 64

_log = structlog.get_logger()


class PeersAdapter:
    """Manage one link per peer and pass messages to and from the reducer.

    Attributes:
        address: address and port to listen on; once the adapter serves, those
            that it is bound to.
        closed_link_bytes: bytes sent over links that have since been closed.
    """

    effect_types: tuple[type, ...] = (
        effects.OpenLink,
        effects.CloseLink,
        effects.SendToPeer,
    )

    def __init__(
        self,
        submit: adapters.Submit,
        state: state_module.ProxyState,
        settings: handshake.PeerSettings,
    ) -> None:
        """Initialise the adapter; nothing is sent before ``serve`` runs."""
        self.address = (settings.address, settings.port)
        self.closed_link_bytes = 0
        self._submit = submit
        self._state = state
        self._settings = settings
        self._links: dict[str, link_module.Link] = {}
        self._encoder = codec.Encoder()
        self._connecting: set[tuple[str, int]] = set()
        self._tasks: anyio.abc.TaskGroup | None = None
        self._handlers: dict[type, Callable[[Any], None]] = {
            effects.OpenLink: self._start_connecting,
            effects.CloseLink: self._close_link,
            effects.SendToPeer: self._send_message,
        }

    async def serve(
        self,
        *,
        task_status: anyio.abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Run until cancelled; report as started once the port is open."""
        settings = self._settings
        listener = await server.serve(
            self._accept_connection,
            settings.address,
            settings.port,
            ssl=settings.server_tls,
            compression=None,
            logger=handshake.WEBSOCKETS_LOGGER,
            ping_interval=None,
            open_timeout=handshake.HANDSHAKE_TIMEOUT_S,
            close_timeout=link_module.CLOSE_TIMEOUT_S,
            max_size=codec.MAX_MESSAGE_BYTES,
            max_queue=handshake.RECEIVE_QUEUE_MESSAGES,
        )
        host, port = next(iter(listener.sockets)).getsockname()[:2]
        self.address = (host, port)
        try:
            async with anyio.create_task_group() as self._tasks:
                task_status.started()
                await anyio.sleep_forever()
        finally:
            self._tasks = None
            with anyio.move_on_after(link_module.CLOSE_TIMEOUT_S, shield=True):
                listener.close()
                await listener.wait_closed()

    def run_effect(self, effect: effects.Effect) -> None:
        """Start running an effect without waiting for it; never raises."""
        self._handlers[type(effect)](effect)

    def count_sent_bytes(self) -> int:
        """Return the number of bytes sent to peers in messages so far."""
        links = self._links.values()
        return self.closed_link_bytes + sum(link.sent_bytes for link in links)

    async def fetch_decision(
        self, host: str, decision: str
    ) -> explanations_state.Decision | None:
        """Return a decision record of another host, or None if it has none.

        Clocks of different hosts are never compared: the record is sent with
        its age instead of its time, and the returned time is on this host's
        clock.

        Raises:
            UnknownHostError: the host is not in the membership table.
            PeerError: the host could not be queried.
        """
        known_host = self._state.membership.hosts.get(host)
        if known_host is None:
            raise errors.UnknownHostError(
                f"host {host} is unknown; see `knapweedtally status`"
            )
        socket, _ = await handshake.connect(
            self._settings,
            known_host.address,
            known_host.peer_port,
            self._build_hello(messages.Purpose.QUERY),
        )
        try:
            return await _query_decision(
                socket, messages.DecisionRequest(decision)
            )
        finally:
            await link_module.close_socket(socket, "")

    def _build_hello(self, purpose: messages.Purpose) -> messages.Hello:
        return messages.Hello(
            self._settings.token,
            self._state.identity.host,
            self._state.identity.incarnation,
            purpose,
        )

    def _start_connecting(self, effect: effects.OpenLink) -> None:
        endpoint = (effect.address, effect.port)
        if endpoint in self._connecting:
            return
        if (
            self._tasks is None
            or len(self._connecting) >= MAX_CONCURRENT_CONNECTS
        ):
            self._report_failure(
                effect, "too many concurrent connection attempts"
            )
            return
        self._connecting.add(endpoint)
        self._tasks.start_soon(self._connect_to_peer, effect)

    def _close_link(self, effect: effects.CloseLink) -> None:
        link = self._links.get(effect.host)
        if link is not None:
            link.close(effect.reason)

    def _send_message(self, effect: effects.SendToPeer) -> None:
        link = self._links.get(effect.host)
        if link is not None:
            link.send(self._encoder.encode(effect.message))

    def _report_failure(self, effect: effects.OpenLink, reason: str) -> None:
        self._submit(
            events.LinkFailed(effect.host, effect.address, effect.port, reason)
        )

    async def _connect_to_peer(self, effect: effects.OpenLink) -> None:
        try:
            socket, hello = await handshake.connect(
                self._settings,
                effect.address,
                effect.port,
                self._build_hello(messages.Purpose.LINK),
            )
        except errors.PeerError as error:
            _log.debug(
                "peers: connection failed",
                address=effect.address,
                port=effect.port,
                reason=str(error),
            )
            self._report_failure(effect, str(error))
            return
        finally:
            self._connecting.discard((effect.address, effect.port))
        if effect.host not in ("", hello.host):
            reason = f"expected host {effect.host}, found {hello.host}"
            self._report_failure(effect, reason)
        await self._run_link(link_module.Link(socket, hello, True))

    async def _accept_connection(self, socket: server.ServerConnection) -> None:
        try:
            hello = await handshake.receive_hello(self._settings, socket)
            answer = self._build_hello(hello.purpose)
            await socket.send(codec.encode_message(answer))
            if hello.purpose is messages.Purpose.QUERY:
                await self._answer_query(socket)
            else:
                await self._run_link(link_module.Link(socket, hello, False))
        except exceptions.ConnectionClosed:
            return
        except errors.PeerError as error:
            _log.warning("peers: connection refused", reason=str(error))
            await link_module.close_socket(socket, str(error))

    async def _answer_query(self, socket: server.ServerConnection) -> None:
        with anyio.move_on_after(QUERY_TIMEOUT_S):
            request = await link_module.receive_message(socket)
            if not isinstance(request, messages.DecisionRequest):
                raise errors.PeerCodecError("expected a question")
            record = explanations.find_decision(self._state, request.decision)
            answer = messages.DecisionAnswer(_swap_time_and_age(record))
            await socket.send(codec.encode_message(answer))
            await socket.wait_closed()

    async def _run_link(self, link: link_module.Link) -> None:
        host = link.hello.host
        rejection_reason = self._find_rejection_reason(link)
        if rejection_reason:
            link.close(rejection_reason)
        else:
            self._replace_link(link)

        def handle_message(message: codec.Message) -> None:
            self._handle_peer_message(link, message)

        try:
            await link.run(handle_message)
        finally:
            self.closed_link_bytes += link.sent_bytes
            if self._links.get(host) is link:
                del self._links[host]
                _log.info("peers: link closed", peer=host, reason=link.reason)
                self._submit(events.LinkClosed(host, link.reason))

    def _find_rejection_reason(self, link: link_module.Link) -> str:
        """Return why a new connection must be closed, or an empty string.

        When two hosts connect to each other at the same time, both keep the
        connection that was opened by the host whose name sorts first.
        """
        own, peer = self._state.identity.host, link.hello.host
        if own == peer:
            return f"both hosts are named {own}; give each its own name"
        existing = self._links.get(peer)
        if existing is None or existing.reason:
            return ""
        if link.hello.incarnation > existing.hello.incarnation:
            return ""
        if link.is_outgoing == existing.is_outgoing:
            return ""
        is_preferred = link.is_outgoing == (own < peer)
        return "" if is_preferred else "hosts are linked already"

    def _replace_link(self, link: link_module.Link) -> None:
        host = link.hello.host
        existing = self._links.get(host)
        self._links[host] = link
        if existing is not None:
            existing.close("replaced by a newer link")
        _log.info("peers: link opened", peer=host)
        self._submit(events.LinkOpened(host, link.is_outgoing))

    def _handle_peer_message(
        self, link: link_module.Link, message: codec.Message
    ) -> None:
        host = link.hello.host
        if self._links.get(host) is not link:
            return
        if isinstance(message, _ADAPTER_MESSAGES):
            raise errors.PeerCodecError("message is not for an open link")
        try:
            self._submit(events.PeerMessageReceived(host, message))
        except Exception as error:
            # A message that the reducer can't handle must not end the process.
            _log.exception("peers: message could not be handled", peer=host)
            raise errors.PeerCodecError("message not handled") from error


_ADAPTER_MESSAGES = (
    messages.Hello,
    messages.DecisionRequest,
    messages.DecisionAnswer,
)


async def _query_decision(
    socket: Any, request: messages.DecisionRequest
) -> explanations_state.Decision | None:
    try:
        with anyio.fail_after(QUERY_TIMEOUT_S):
            await socket.send(codec.encode_message(request))
            answer = await link_module.receive_message(socket)
    except (TimeoutError, exceptions.ConnectionClosed) as error:
        raise errors.PeerUnreachableError("no answer from the host") from error
    if not isinstance(answer, messages.DecisionAnswer):
        raise errors.PeerCodecError("expected an answer")
    return _swap_time_and_age(answer.decision)


def _swap_time_and_age(
    decision: explanations_state.Decision | None,
) -> explanations_state.Decision | None:
    """Replace the time of a record by its age, or its age by its time."""
    if decision is None:
        return None
    return decision._replace(at=time.monotonic() - decision.at)
