"""Everything that takes part in one run."""

import itertools

from knapweedtally.core import model
from knapweedtally.core import state as state_module
from knapweedtally.core.bundles import codec
from knapweedtally.core.bundles import signatures
from knapweedtally.core.membership import state as membership_state
from tests.driver import caller as caller_module
from tests.driver import network as network_module
from tests.driver import peers as peers_module
from tests.driver import platform as platform_module
from tests.driver import proxy as proxy_module
from tests.driver import schedule as schedule_module
from tests.driver import target as target_module
from tests.history import model as history_model

FIRST_PORT = 5432
PEER_PORT = 7000
SIGNER = "operator"
SECRET = bytes(32)
DATA_CENTRES = ("north", "south", "archive")
# A host's address is its name here.
SEED_HOSTS = tuple(
    membership_state.Seed(f"proxy-{place}", PEER_PORT) for place in DATA_CENTRES
)
CALLERS = 8
# Time for replicas to reach their primary before proxies start.
HEAD_START_S = 0.5
GROUPS = ("records", "alarms")


class World:
    """Hold the processes of a run and its history.

    Attributes:
        schedule: virtual time.
        network: carries all messages.
        platform: the platform's store.
        targets: targets by id.
        proxies: proxies by name of the host.
        callers: sessions.
        events: history so far.
        groups: names of the groups.
    """

    def __init__(self, seed: int) -> None:
        """Start all processes; the seed decides everything."""
        self.schedule = schedule_module.Schedule(seed)
        self.network = network_module.Network(self.schedule)
        self.platform = platform_module.Platform(self.schedule, self.network)
        self.events: list[history_model.Event] = []
        self.groups = GROUPS[: 1 + (seed % 4 == 0)]
        self.targets: dict[str, target_module.Target] = {}
        for group in self.groups:
            self._start_targets(group)
        self.bundle = self._make_bundle()
        self.roll_out("")
        self.schedule.run_until(HEAD_START_S)
        self._peers: dict[str, peers_module.PeerLinks] = {}
        hosts = _name_hosts(1 + (seed % 5 == 0))
        self._hosts = tuple(
            model.ListedHost(name, name, PEER_PORT, place, False)
            for name, place in hosts.items()
        )
        self.proxies = {
            name: self._start_proxy(name, place)
            for name, place in hosts.items()
        }
        ids = itertools.count(1)
        self.callers = [
            caller_module.Caller(
                schedule_module.Process(
                    self.schedule, f"caller-{number}", "callers"
                ),
                self.network,
                list(self.proxies.values()),
                self.groups,
                self.events,
                ids,
            )
            for number in range(CALLERS)
        ]

    def heal(self) -> None:
        """End every fault."""
        self.schedule.add_trace_line("all faults are healed")
        self.network.heal()
        self.platform.heal()
        for target in self.targets.values():
            target.process.resume()
            target.restart()
            target.apply_lag_s = 0.0
            target.pull_delay_s = 0.0
        for proxy in self.proxies.values():
            proxy.process.resume()
            proxy.restart()

    def stop_callers(self) -> None:
        """Let callers finish what they began."""
        for caller in self.callers:
            caller.is_active = False

    def ask_for_primary(self, target: str) -> None:
        """Update a group's object as an operator's command does."""
        group = target.rpartition("-")[0]
        found = self.platform.get_object("group", group)
        value = {**found.value, "preferred": target}
        operator = schedule_module.Process(
            self.schedule, f"operator-{target}", "callers"
        )
        self.platform.call(
            operator,
            lambda: self.platform.update_object(found._replace(value=value)),
            lambda reply: None,
            lambda may_have_run: None,
        )

    def list_leaving(self) -> set[str]:
        """Return the targets that leave by the newest accepted bundle."""
        stored = self.platform.get_object("bundle", "current")
        bundle = codec.parse_bundle(stored.value)
        return {
            target
            for group in bundle.groups.values()
            for target in group.leaving
        }

    def list_group(self, group: str) -> list[target_module.Target]:
        """Return the targets of a group."""
        return [
            target
            for target in self.targets.values()
            if group in target.id.rpartition("-")[0]
        ]

    def find_primary(self, group: str) -> target_module.Target | None:
        """Return the serving primary of the newest term, if there is one."""
        serving = [
            target
            for target in self.list_group(group)
            if target.instance.is_primary
        ]
        return max(
            serving, key=lambda target: target.instance.term, default=None
        )

    def name_primary(self, group: str) -> str:
        """Return the id of the primary, or of some target without one."""
        primary = self.find_primary(group)
        return primary.id if primary else self.list_group(group)[0].id

    def _start_targets(self, group: str) -> None:
        members = [f"{group}-{place}" for place in DATA_CENTRES]
        started = {}
        for name, data_centre in zip(members, DATA_CENTRES, strict=True):
            process = schedule_module.Process(self.schedule, name, data_centre)
            target = target_module.Target(process, self.network, members)
            target.peers = started
            target.on_term_opened = self._make_observer(group, name)
            started[name] = target
        self.targets.update(started)
        primary = members[0]
        for name, target in started.items():
            target.instance.install_term(1, "first")
            if name == primary:
                target.instance.promote(1, "first")
            else:
                target.instance.follow(1, primary)
        value: dict[str, object] = {
            "term": 1,
            "phase": "open",
            "primary": primary,
            "operation": "first",
            "preferred": "",
        }
        self.platform.update_object(
            platform_module.StoredObject("group", group, 0, value)
        )

    def _make_observer(self, group: str, target: str):  # noqa: ANN202
        def opened(term: int) -> None:
            event = history_model.TermOpened(
                self.schedule.now, group, term, target
            )
            self.events.append(event)
            self.schedule.add_trace_line(f"{event}")

        return opened

    def _make_bundle(self) -> model.Bundle:
        groups = {}
        for name in self.groups:
            targets = tuple(
                model.Target(
                    target.id,
                    "127.0.0.1",
                    FIRST_PORT + list(self.targets).index(target.id),
                    target.process.data_centre,
                )
                for target in self.list_group(name)
            )
            groups[name] = model.Group(name, targets)
        return model.Bundle(1, "", groups, SIGNER)

    def roll_out(self, leaving: str) -> None:
        """Replace the bundle as an operator's command does.

        Args:
            leaving: id of the only target that is to leave, or empty.
        """
        found = self.platform.get_object("bundle", "current")
        groups = {
            name: group._replace(
                leaving=frozenset(
                    target.id
                    for target in group.targets
                    if target.id == leaving
                )
            )
            for name, group in self.bundle.groups.items()
        }
        bundle = self.bundle._replace(version=found.version + 1, groups=groups)
        value = codec.dump_bundle(bundle)
        value["signature"] = signatures.sign(value, SECRET)
        wanted = platform_module.StoredObject(
            "bundle", "current", found.version, value
        )
        operator = schedule_module.Process(
            self.schedule, f"operator-{leaving}", "callers"
        )
        self.platform.call(
            operator,
            lambda: self.platform.update_object(wanted),
            lambda reply: None,
            lambda may_have_run: None,
        )

    def _start_proxy(self, name: str, place: str) -> proxy_module.Proxy:
        process = schedule_module.Process(self.schedule, name, place)
        proxy = proxy_module.Proxy(
            process,
            self.network,
            self.platform,
            self.targets,
            self._peers,
            self._prepare,
        )
        proxy.objects.listed_hosts = self._hosts
        return proxy

    def _prepare(self, state: state_module.ProxyState) -> None:
        """Give a proxy that starts what its settings would."""
        state.bundles.keys = {SIGNER: signatures.derive_public_key(SECRET)}
        state.membership.settings = membership_state.Settings(
            state.identity.host, PEER_PORT, PEER_PORT + 1, SEED_HOSTS
        )


def _name_hosts(count: int) -> dict[str, str]:
    """Return the data centre of each entry host, some in each."""
    return {
        f"proxy-{place}" + (f"-{number}" if number else ""): place
        for number in range(count)
        for place in DATA_CENTRES
    }
