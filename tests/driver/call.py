"""One request of a caller to a proxy."""

from collections.abc import Callable
from typing import Any

from tests.driver import delivery as delivery_module
from tests.driver import network as network_module
from tests.driver import proxy as proxy_module
from tests.driver import schedule as schedule_module
from tests.driver import table as table_module

PATIENCE_S = 9.0
CHECK_S = 0.2

Delivery = delivery_module.Delivery
# Takes the answer, or None when the connection was lost.
Step = Callable[[Delivery | None], None]


class Call:
    """Send a request and wait for its answer."""

    def __init__(
        self,
        process: schedule_module.Process,
        network: network_module.Network,
        proxy: proxy_module.Proxy,
        step: Step,
    ) -> None:
        """Prepare a call from a caller's process to a proxy."""
        self._process = process
        self._network = network
        self._proxy = proxy
        self._generation = proxy.process.generation
        self._step = step
        self._is_over = False

    def send(
        self,
        command: table_module.Command,
        on_closed: schedule_module.Action,
        **fields: Any,
    ) -> None:
        """Send the request; see ``Proxy.request`` for the arguments."""

        def arrive() -> None:
            self._proxy.request(
                command,
                self._deliver,
                lambda: self._send_back(on_closed),
                **fields,
            )

        self._network.send(self._process, self._proxy.process, arrive)
        self._process.call_later(PATIENCE_S, self._lose_patience)
        self._check()

    def _send_back(self, action: schedule_module.Action) -> None:
        self._network.send(self._proxy.process, self._process, action)

    def _deliver(self, delivery: Delivery) -> None:
        self._send_back(lambda: self._finish(delivery))

    def _finish(self, delivery: Delivery | None) -> None:
        if not self._is_over:
            self._is_over = True
            self._step(delivery)

    def _check(self) -> None:
        """Notice the end of the proxy's process."""
        process = self._proxy.process
        if process.generation != self._generation or not process.is_running:
            self._finish(None)
        elif not self._is_over:
            self._process.call_later(CHECK_S, self._check)

    def _lose_patience(self) -> None:
        if self._is_excused():
            self._finish(None)

    def _is_excused(self) -> bool:
        """Tell whether the proxy can't answer: a hang is a fault otherwise."""
        proxy = self._proxy.process
        since = self._process.schedule.now - PATIENCE_S
        return (
            proxy.is_paused
            or proxy.resumed_at >= since
            or self._network.was_blocked(self._process, proxy, since)
            or self._network.was_blocked(proxy, self._process, since)
        )
