"""The configuration of a host: where it comes from and when it applies."""

from collections.abc import Callable
from typing import Any

from knapweedtally.core.groups import catalog as catalog_module
from knapweedtally.entry.common import clock
from knapweedtally.entry.common import logs
from knapweedtally.entry.common import supervision
from knapweedtally.entry.fleet import configuration_check
from knapweedtally.entry.fleet import configuration_exchange
from knapweedtally.entry.fleet import peers as peers_module
from knapweedtally.entry.fleet import store
from knapweedtally.entry.fleet import store_watches
from knapweedtally.platform import records
from knapweedtally.platform import settings
from knapweedtally.platform import store_calls


class HostConfiguration:
    """Apply the configurations that the store or other hosts bring.

    Attributes:
        exchange: exchanges configurations with other hosts while the store
            doesn't answer.
    """

    def __init__(
        self,
        host_settings: settings.HostSettings,
        catalog: catalog_module.Catalog,
        get_client: Callable[[], store.StoreClient],
        peers: peers_module.Peers,
        log: logs.Log,
        on_applied: Callable[[], None],
    ) -> None:
        """Create it without a configuration.

        Args:
            host_settings: this host's settings.
            catalog: gets the configuration in force.
            get_client: returns the store's client.
            peers: exchanges datagrams with the other hosts.
            log: where versions and errors are written.
            on_applied: called after a configuration came into force, before
                the sessions that wait for it.
        """
        self._settings = host_settings
        self._catalog = catalog
        self._get_client = get_client
        self._log = log
        self._on_applied = on_applied
        self._watcher: store_watches.Watcher | None = None
        self._callbacks: list[Callable[[], None]] = []
        self._last_tick_s = clock.get_time_s()
        self._check = configuration_check.ConfigurationCheck(self._refresh)
        self.exchange = configuration_exchange.ConfigurationExchange(
            catalog,
            peers,
            host_settings.host,
            log,
            self.apply,
            self._is_store_silent,
        )

    def make_watcher(self) -> store_watches.Watcher:
        """Return the watcher of the configuration."""
        self._watcher = store_watches.Watcher(
            self._get_client(),
            records.CONFIGURATION_KIND,
            self.apply_objects,
            lambda change: self.apply_objects([change.stored]),
            self._log,
        )
        return self._watcher

    def apply_objects(self, objects: list[store_calls.StoredObject]) -> None:
        """Apply the configuration among objects of the store."""
        for stored in objects:
            if stored.name == records.CONFIGURATION_NAME:
                self.apply(stored.spec, stored.revision.number)

    def apply(self, spec: Any, revision: int = 0) -> bool:
        """Apply a configuration if it is valid and newer.

        Args:
            spec: the decoded configuration.
            revision: number of the store's revision, or 0 if another host sent
                it.

        Returns:
            Whether it came into force.
        """
        try:
            configuration = records.parse_configuration(spec)
        except records.InvalidRecord as error:
            self._log.write("configuration_unreadable", reason=str(error))
            return False
        except Exception as error:
            supervision.report("configuration", error)
            return False
        if not catalog_module.apply_configuration(self._catalog, configuration):
            return False
        self._log.write(
            "configuration_in_force",
            version=configuration.version,
            revision=revision,
            routes=len(configuration.routes),
        )
        supervision.contain(
            "configuration exchange", self.exchange.record_applied, spec
        )
        self._on_applied()
        self._call_callbacks()
        return True

    # The first configuration.

    def is_expected(self) -> bool:
        """Return whether a first configuration is to be expected soon."""
        if not self._get_client().is_unavailable:
            return True
        now_s = clock.get_time_s()
        return self._settings.has_teams and self.exchange.is_first_expected(
            now_s
        )

    def call_when_applied(self, callback: Callable[[], None]) -> None:
        """Call back once a configuration is applied, or none is expected."""
        self._callbacks.append(callback)

    def check(self, now_s: float) -> None:
        """Call the sessions for which the wait has ended."""
        if self._callbacks and (
            self._catalog.configuration is not None or not self.is_expected()
        ):
            self._call_callbacks()

    def _call_callbacks(self) -> None:
        callbacks, self._callbacks = self._callbacks, []
        for callback in callbacks:
            supervision.contain("configuration callback", callback)

    # Confirmation after a standstill.

    def record_tick(self, now_s: float) -> None:
        """Record that the host runs; read again after a standstill."""
        is_due = self.is_confirmation_due()
        self._last_tick_s = now_s
        # Callers that wait are released even if teams were removed since.
        if is_due or self._check.has_waiting:
            self._check.start()

    def is_confirmation_due(self) -> bool:
        """Return whether callers wait since the host was suspended."""
        if not self._has_teams():
            return False
        still_s = clock.get_time_s() - self._last_tick_s
        return (
            self._check.is_running
            or still_s > configuration_check.MIN_STANDSTILL_S
        )

    def call_when_confirmed(self, callback: Callable[[], None]) -> None:
        """Call back once the configuration was read after a suspension."""
        self._check.call_when_done(callback)

    async def _refresh(self) -> None:
        listing = await store.list_objects(
            self._get_client(), records.CONFIGURATION_KIND
        )
        self.apply_objects(listing.objects)

    # Age.

    def get_age_s(self, now_s: float) -> float:
        """Return how long ago the configuration in force was confirmed.

        It is confirmed by a response of the store, or by being fetched from
        another host. A watch without changes confirms it when it ends.
        """
        times = (
            self._watcher.succeeded_s if self._watcher else None,
            self.exchange.confirmed_s,
        )
        return now_s - max((t for t in times if t is not None), default=now_s)

    def _is_store_silent(self, now_s: float) -> bool:
        """Return whether other hosts have to be asked for a configuration.

        This applies only where callers are told apart: a late configuration
        is then a security risk.
        """
        return self._has_teams() and (
            self._get_client().is_unavailable
            or (self._watcher is not None and self._watcher.is_overdue(now_s))
        )

    def _has_teams(self) -> bool:
        """Return whether callers are, or will be, told apart."""
        configuration = self._catalog.configuration
        if configuration is None:
            return self._settings.has_teams
        return bool(configuration.teams)
