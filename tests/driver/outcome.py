"""The history of a finished run, and checks of more than the history."""

from collections.abc import Iterator

from tests.driver import world as world_module
from tests.history import model as history_model

CHECK_INTERVAL_S = 0.2
# Time after the end of faults to distribute a bundle, to promote a primary and
# to move requests to other targets.
SETTLING_TIME_S = 5.0

World = world_module.World
Violation = history_model.Violation


class BundleMonitor:
    """Monitor of each proxy's bundle, whose version may not decrease."""

    def __init__(self, world: World) -> None:
        """Start to check the versions periodically."""
        self._world = world
        self._newest_versions: dict[str, int] = {}
        self._violations: list[Violation] = []
        self._check_versions()

    def get_violations(self) -> list[Violation]:
        """Return the violations found so far."""
        return self._violations

    def record_missing_bundles(self) -> None:
        """Record a violation for each proxy without the stored bundle."""
        stored = self._world.platform.get_object("bundle", "current")
        for name, proxy in self._world.proxies.items():
            if _get_version(proxy) != stored.version:
                detail = f"{name} does not have {stored.version}"
                self._violations.append(Violation("bundle", 0, detail))

    def _check_versions(self) -> None:
        self._world.schedule.call_later(CHECK_INTERVAL_S, self._check_versions)
        for name, proxy in self._world.proxies.items():
            version = _get_version(proxy)
            known = self._newest_versions.get(name, 0)
            # A starting proxy has no bundle yet and refuses requests.
            if version and version < known:
                detail = f"{name} went from {known} to {version}"
                self._violations.append(Violation("bundle", 0, detail))
            self._newest_versions[name] = max(version, known)


def _get_version(proxy: world_module.proxy_module.Proxy) -> int:
    bundle = proxy.state.directory.bundle
    return bundle.version if bundle else 0


def collect_history(world: World) -> history_model.History:
    """Return the events of a run and the final table of each group."""
    tables = {}
    for group in world.groups:
        primary = world.find_primary(group)
        if primary is not None:
            primary.table.apply()
            tables[group] = tuple(primary.table.rows)
    return history_model.History(tuple(world.events), tables)


def find_final_violations(world: World) -> Iterator[Violation]:
    """Find violations in the final state of a run.

    These are groups without a primary, targets whose data differs from their
    primary's, and planned stops with requests in flight.
    """
    for group in world.groups:
        primary = world.find_primary(group)
        if primary is None:
            yield Violation("liveness", 0, f"{group} has no primary")
            continue
        for target in world.list_targets(group):
            target.table.apply()
            if target.table.rows != primary.table.rows:
                detail = f"{target.id} differs from {primary.id}"
                yield Violation("liveness", 0, detail)
    for name, proxy in world.proxies.items():
        if proxy.unfinished_requests:
            detail = (
                f"{name} stopped as planned with "
                f"{proxy.unfinished_requests} requests in flight"
            )
            yield Violation("planned_stop", 0, detail)


def find_requests_on_leaving_targets(
    world: World, healed_at: float
) -> Iterator[Violation]:
    """Find requests that ran on a leaving target.

    Requests sent before the end of the settling time are allowed there.

    Args:
        world: the finished run.
        healed_at: virtual time at which all faults were healed, in seconds.
    """
    leaving = world.list_leaving_targets()
    sent = {
        event.request: event.at
        for event in world.events
        if isinstance(event, history_model.Invoked)
    }
    for event in world.events:
        if not isinstance(event, history_model.Answered):
            continue
        is_late = sent[event.request] > healed_at + SETTLING_TIME_S
        if is_late and event.target in leaving:
            detail = f"ran on {event.target}, which is leaving"
            yield Violation("leaving", event.request, detail)
