"""One request of a caller to a proxy."""

from collections.abc import Callable
from typing import Any

from tests.driver import network as network_module
from tests.driver import proxy as proxy_module
from tests.driver import response as response_module
from tests.driver import schedule as schedule_module
from tests.driver import table as table_module

REQUEST_TIMEOUT_S = 9.0
PROCESS_CHECK_INTERVAL_S = 0.2

Response = response_module.Response
# Receives the response, or None when the connection was lost.
ResponseCallback = Callable[[Response | None], None]


class Call:
    """Request of a caller that waits for its response."""

    def __init__(
        self,
        process: schedule_module.Process,
        network: network_module.Network,
        proxy: proxy_module.Proxy,
        on_response: ResponseCallback,
    ) -> None:
        """Create a call.

        Args:
            process: the caller's process.
            network: network between the caller and the proxy.
            proxy: proxy that receives the request.
            on_response: called once with the response.
        """
        self._process = process
        self._network = network
        self._proxy = proxy
        self._generation = proxy.process.generation
        self._on_response = on_response
        self._is_finished = False

    def send(
        self,
        command: table_module.Command,
        on_closed: schedule_module.Action,
        **fields: Any,
    ) -> None:
        """Send the request; see ``Proxy.handle_request`` for the arguments."""

        def arrive() -> None:
            self._proxy.handle_request(
                command,
                self._respond,
                lambda: self._send_to_caller(on_closed),
                **fields,
            )

        self._network.send(self._process, self._proxy.process, arrive)
        self._process.call_later(REQUEST_TIMEOUT_S, self._handle_timeout)
        self._check_proxy_process()

    def _send_to_caller(self, action: schedule_module.Action) -> None:
        self._network.send(self._proxy.process, self._process, action)

    def _respond(self, response: Response) -> None:
        self._send_to_caller(lambda: self._finish(response))

    def _finish(self, response: Response | None) -> None:
        if not self._is_finished:
            self._is_finished = True
            self._on_response(response)

    def _check_proxy_process(self) -> None:
        """End the call if the proxy's process has ended or restarted."""
        process = self._proxy.process
        if process.generation != self._generation or not process.is_running:
            self._finish(None)
        elif not self._is_finished:
            self._process.call_later(
                PROCESS_CHECK_INTERVAL_S, self._check_proxy_process
            )

    def _handle_timeout(self) -> None:
        if self._is_timeout_expected():
            self._finish(None)

    def _is_timeout_expected(self) -> bool:
        """Return whether a fault explains the timeout.

        Otherwise the request stays without a response, which the check of the
        history reports as a violation.
        """
        proxy = self._proxy.process
        since = self._process.schedule.now - REQUEST_TIMEOUT_S
        return (
            proxy.is_paused
            or proxy.resumed_at >= since
            or self._network.was_blocked(self._process, proxy, since)
            or self._network.was_blocked(proxy, self._process, since)
        )
