"""What is read of a run at its end, and checked besides the history."""

from collections.abc import Iterator

from tests.driver import world as world_module
from tests.history import model as history_model

WATCH_S = 0.2
# Time for a bundle, a promotion and a change of targets after faults end.
SETTLE_S = 5.0

World = world_module.World
Violation = history_model.Violation


class Watcher:
    """Follow the bundle in force at each proxy."""

    def __init__(self, world: World) -> None:
        """Begin to follow."""
        self._world = world
        self._newest: dict[str, int] = {}
        self._found: list[Violation] = []
        self._look()

    def find_violations(self) -> list[Violation]:
        """Return what went back."""
        return self._found

    def note_behind(self) -> None:
        """Note the proxies that lack the newest accepted bundle."""
        stored = self._world.platform.get_object("bundle", "current")
        for name, proxy in self._world.proxies.items():
            if _get_version(proxy) != stored.version:
                detail = f"{name} does not have {stored.version}"
                self._found.append(Violation("bundle", 0, detail))

    def _look(self) -> None:
        self._world.schedule.call_later(WATCH_S, self._look)
        for name, proxy in self._world.proxies.items():
            version = _get_version(proxy)
            known = self._newest.get(name, 0)
            # A proxy that starts has none at first; it refuses requests.
            if version and version < known:
                detail = f"{name} went from {known} to {version}"
                self._found.append(Violation("bundle", 0, detail))
            self._newest[name] = max(version, known)


def _get_version(proxy: world_module.proxy_module.Proxy) -> int:
    bundle = proxy.state.directory.bundle
    return bundle.version if bundle else 0


def read_history(world: World) -> history_model.History:
    """Return the history with each group's final table."""
    tables = {}
    for group in world.groups:
        primary = world.find_primary(group)
        if primary is not None:
            primary.table.apply()
            tables[group] = tuple(primary.table.rows)
    return history_model.History(tuple(world.events), tables)


def find_unfinished(world: World) -> Iterator[Violation]:
    """Find groups without a primary, lagging replicas and cut-off requests."""
    for group in world.groups:
        primary = world.find_primary(group)
        if primary is None:
            yield Violation("liveness", 0, f"{group} has no primary")
            continue
        for target in world.list_group(group):
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


def find_work_on_leaving(world: World, healed_at: float) -> Iterator[Violation]:
    """Find requests that began on a leaving target long after it left."""
    leaving = world.list_leaving()
    sent = {
        event.request: event.at
        for event in world.events
        if isinstance(event, history_model.Invoked)
    }
    for event in world.events:
        if not isinstance(event, history_model.Answered):
            continue
        is_late = sent[event.request] > healed_at + SETTLE_S
        if is_late and event.target in leaving:
            detail = f"ran on {event.target}, which is leaving"
            yield Violation("leaving", event.request, detail)
