"""What a caller's session needs of its host."""

from collections.abc import Callable
from typing import Any
from typing import Protocol

from knapweedtally.core.groups import catalog
from knapweedtally.entry import logs
from knapweedtally.entry import measures
from knapweedtally.entry import router as router_module


class Services(Protocol):
    """Give a session what it needs of its host.

    Attributes:
        catalog: configuration and targets.
        log: where decisions are written.
        counters: counters and histograms.
        is_draining: whether the host is about to stop.
    """

    catalog: catalog.Catalog
    log: logs.Log
    counters: measures.Measures
    is_draining: bool

    def may_be_configured_soon(self) -> bool:
        """Tell whether waiting for the first configuration makes sense."""

    def find_router(self, group: str) -> router_module.Router | None:
        """Return the router of a group."""

    def add_session(self, session: Any) -> None:
        """Take note of a session."""

    def drop_session(self, session: Any) -> None:
        """Forget a session."""

    def call_when_configured(self, callback: Callable[[], None]) -> None:
        """Call back once a configuration is in force."""
