"""The simulated system of one run."""

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

FIRST_TARGET_PORT = 5432
PEER_PORT = 7000
SIGNER = "operator"
PRIVATE_KEY = bytes(32)
DATA_CENTRES = ("north", "south", "archive")
# The driver uses the names of hosts as their addresses.
SEED_HOSTS = tuple(
    membership_state.Seed(f"proxy-{place}", PEER_PORT) for place in DATA_CENTRES
)
CALLER_COUNT = 8
# Time for replicas to catch up with their primary before proxies start.
INITIAL_CATCH_UP_S = 0.5
GROUPS = ("records", "alarms")
ADDED_TARGET = "added"


class World:
    """All simulated processes of a run, and its history.

    Attributes:
        schedule: event queue in virtual time.
        network: network between all processes.
        platform: the platform's store.
        targets: targets by id.
        proxies: proxies by name of the host.
        callers: callers, with one session each.
        events: events of the history so far.
        groups: names of the groups.
        removed_targets: ids of targets that were removed from their group.
    """

    def __init__(self, seed: int) -> None:
        """Start all processes.

        Args:
            seed: seed of all random choices.
        """
        self.schedule = schedule_module.Schedule(seed)
        self.network = network_module.Network(self.schedule)
        self.platform = platform_module.Platform(self.schedule, self.network)
        self.events: list[history_model.Event] = []
        self.groups = GROUPS[: 1 + (seed % 4 == 0)]
        self.targets: dict[str, target_module.Target] = {}
        self.removed_targets: set[str] = set()
        for group in self.groups:
            self._start_targets(group)
        self.bundle = self._make_bundle()
        self.roll_out("")
        self.schedule.run_until(INITIAL_CATCH_UP_S)
        self._peers: dict[str, peers_module.PeerLinks] = {}
        hosts = _map_hosts_to_data_centres(1 + (seed % 5 == 0))
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
            for number in range(CALLER_COUNT)
        ]

    def heal(self) -> None:
        """Heal every fault."""
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
        """Let callers finish their requests and start no new ones."""
        for caller in self.callers:
            caller.is_active = False

    def request_primary_change(self, target: str) -> None:
        """Request a planned primary change as an operator's command does.

        Args:
            target: id of the target that is to become the primary.
        """
        group = target.rpartition("-")[0]
        current = self.platform.get_object("group", group)
        value = {**current.value, "preferred": target}
        operator = schedule_module.Process(
            self.schedule, f"operator-{target}", "callers"
        )
        self.platform.call(
            operator,
            lambda: self.platform.update_object(current._replace(value=value)),
            lambda reply: None,
            lambda may_have_run: None,
        )

    def list_leaving_targets(self) -> set[str]:
        """Return ids of the targets that the stored bundle marks as leaving."""
        stored = self.platform.get_object("bundle", "current")
        bundle = codec.parse_bundle(stored.value)
        return {
            target
            for group in bundle.groups.values()
            for target in group.leaving
        }

    def list_targets(self, group: str) -> list[target_module.Target]:
        """Return the targets of a group that weren't removed."""
        return [
            target
            for target in self.targets.values()
            if group in target.id.rpartition("-")[0]
            and target.id not in self.removed_targets
        ]

    def add_target(self, group: str) -> None:
        """Add a target with an empty log to a group that has none added."""
        name = f"{group}-{ADDED_TARGET}"
        if name in self.targets:
            return
        data_centre = self.schedule.random.choice(DATA_CENTRES)
        process = schedule_module.Process(self.schedule, name, data_centre)
        members = [target.id for target in self.list_targets(group)]
        target = target_module.Target(process, self.network, members)
        target.peers = self.list_targets(group)[0].peers
        target.peers[name] = target
        target.on_term_opened = self._make_term_recorder(group, name)
        self.targets[name] = target

    def find_primary(self, group: str) -> target_module.Target | None:
        """Return the primary of the highest term, or None without a primary."""
        serving = [
            target
            for target in self.list_targets(group)
            if target.instance.is_primary
        ]
        return max(
            serving, key=lambda target: target.instance.term, default=None
        )

    def get_primary_id(self, group: str) -> str:
        """Return the id of the primary, or of the first target without one."""
        primary = self.find_primary(group)
        return primary.id if primary else self.list_targets(group)[0].id

    def _start_targets(self, group: str) -> None:
        members = [f"{group}-{place}" for place in DATA_CENTRES]
        started = {}
        for name, data_centre in zip(members, DATA_CENTRES, strict=True):
            process = schedule_module.Process(self.schedule, name, data_centre)
            target = target_module.Target(process, self.network, members)
            target.peers = started
            target.on_term_opened = self._make_term_recorder(group, name)
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

    def _make_term_recorder(self, group: str, target: str):  # noqa: ANN202
        def record_term(term: int) -> None:
            event = history_model.TermOpened(
                self.schedule.now, group, term, target
            )
            self.events.append(event)
            self.schedule.add_trace_line(f"{event}")

        return record_term

    def _make_bundle(self) -> model.Bundle:
        groups = {}
        for name in self.groups:
            targets = tuple(
                model.Target(
                    target.id,
                    "127.0.0.1",
                    FIRST_TARGET_PORT + list(self.targets).index(target.id),
                    target.process.data_centre,
                )
                for target in self.list_targets(name)
            )
            groups[name] = model.Group(name, targets)
        return model.Bundle(1, "", groups, SIGNER)

    def is_bundle_stored(self) -> bool:
        """Return whether the platform's bundle has the groups' targets."""
        stored = self.platform.get_object("bundle", "current")
        bundle = codec.parse_bundle(stored.value)
        return all(
            {target.id for target in bundle.groups[group].targets}
            == {target.id for target in self.list_targets(group)}
            for group in self.groups
        )

    def roll_out(self, leaving: str) -> None:
        """Roll out a bundle as an operator's command does.

        Args:
            leaving: id of the only target marked as leaving; empty for none.
        """
        current = self.platform.get_object("bundle", "current")
        groups = {
            name: group._replace(
                leaving=frozenset(
                    target.id
                    for target in group.targets
                    if target.id == leaving
                )
            )
            for name, group in self._make_bundle().groups.items()
        }
        bundle = self.bundle._replace(
            version=current.version + 1, groups=groups
        )
        value = codec.dump_bundle(bundle)
        value["signature"] = signatures.sign_bundle(value, PRIVATE_KEY)
        update = platform_module.StoredObject(
            "bundle", "current", current.version, value
        )
        operator = schedule_module.Process(
            self.schedule, f"operator-{leaving}", "callers"
        )
        self.platform.call(
            operator,
            lambda: self.platform.update_object(update),
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
            self._configure_proxy,
        )
        proxy.platform_client.listed_hosts = self._hosts
        return proxy

    def _configure_proxy(self, state: state_module.ProxyState) -> None:
        """Set the parts of a proxy's state that come from its settings."""
        state.bundles.keys = {SIGNER: signatures.derive_public_key(PRIVATE_KEY)}
        state.membership.settings = membership_state.Settings(
            state.identity.host, PEER_PORT, PEER_PORT + 1, SEED_HOSTS
        )


def _map_hosts_to_data_centres(count: int) -> dict[str, str]:
    """Return the data centre by name of the entry host.

    Args:
        count: number of entry hosts in each data centre.
    """
    return {
        f"proxy-{place}" + (f"-{number}" if number else ""): place
        for number in range(count)
        for place in DATA_CENTRES
    }
