"""The services that a host provides to its callers' sessions."""

from collections.abc import Callable
from typing import Any
from typing import Protocol

from knapweedtally.core.groups import catalog
from knapweedtally.core.groups import shutdown
from knapweedtally.entry.common import logs
from knapweedtally.entry.common import message_queue
from knapweedtally.entry.common import metrics
from knapweedtally.entry.fleet import host_configuration
from knapweedtally.entry.limits import quotas
from knapweedtally.entry.statements import router as router_module


class Services(Protocol):
    """The interface of a host for its callers' sessions.

    Attributes:
        catalog: configuration and targets.
        log: where decisions are written.
        counters: counters and histograms.
        quotas: admission within the limits of teams.
        phase: phase of the planned stop.
        configuration: reads, confirms and exchanges the configuration.
        large_messages: room for the large messages of all callers.
    """

    catalog: catalog.Catalog
    log: logs.Log
    counters: metrics.Metrics
    quotas: quotas.Quotas
    phase: shutdown.Phase
    configuration: host_configuration.HostConfiguration
    large_messages: message_queue.LargeMessages

    def is_configuration_expected(self) -> bool:
        """Return whether a first configuration is to be expected soon."""

    def find_router(self, group: str) -> router_module.Router | None:
        """Return the router of a group."""

    def add_session(self, session: Any) -> bool:
        """Register a session, and return whether there is room for it."""

    def remove_session(self, session: Any) -> None:
        """Unregister a session that has ended."""

    def can_linger(self) -> bool:
        """Return whether a refused caller's connection may stay for a while."""

    def remove_connection(self, session: Any) -> None:
        """Unregister a session whose connection is closed."""

    def call_when_configured(self, callback: Callable[[], None]) -> None:
        """Call back once a configuration is applied, or none is expected."""
