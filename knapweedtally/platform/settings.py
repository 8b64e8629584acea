"""Settings file that the platform provides for each process."""

import ipaddress
import json
import os
from typing import Any
from typing import NamedTuple

SETTINGS_VARIABLE = "KNAPWEEDTALLY_SETTINGS"
_DEFAULT_PATH = "/etc/knapweedtally/local.yaml"

MAX_PORT = 65535


class SettingsError(ValueError):
    """Raised for a settings file that is missing or invalid."""


class Address(NamedTuple):
    """Address of a TCP endpoint.

    Attributes:
        host: IP address.
        port: port number.
    """

    host: str
    port: int


class Quota(NamedTuple):
    """How teams' limits are enforced.

    Attributes:
        window_s: length of the sliding window in which operations count.
        excess: part of a limit by which it may be exceeded.
        slack: operations by which it may be exceeded besides.
    """

    window_s: float
    excess: float
    slack: float


class HostSettings(NamedTuple):
    """Settings of one process.

    Attributes:
        host: name of the machine.
        data_centre: data centre of the machine.
        callers: address on which to listen for callers.
        readiness: address on which to serve the readiness probe.
        store: address of the platform's store.
        promotion_api: address of the API that only the holder of the promotion
            lease may call, or None if there is none.
        grace_s: time between the request to stop and the forced kill.
        drain_s: time after which a draining target must get no new work.
        metrics: address on which to serve metrics, or None.
        peers: address on which to receive the datagrams and the relay
            connections of other hosts, or None.
        quota: how teams' limits are enforced, or None if they have none.
        has_teams: whether callers are told apart by the keys of their teams.
        has_load_control: whether statements are admitted by pace and in fair
            order.
        cores: processor cores that the process may use; may be a fraction.
        link_mbps: bandwidth of the machine's link, or 0 if it isn't known.
        store_history_s: how long the store keeps changes, or 0 if it isn't
            known.
        max_descriptors: number of descriptors that the process may have, or 0
            if it isn't known.
    """

    host: str
    data_centre: str
    callers: Address
    readiness: Address
    store: Address
    promotion_api: Address | None
    grace_s: float
    drain_s: float
    metrics: Address | None
    peers: Address | None
    quota: Quota | None = None
    has_teams: bool = False
    has_load_control: bool = False
    cores: float = 1.0
    link_mbps: float = 0.0
    store_history_s: float = 0.0
    max_descriptors: int = 0


def parse_address(text: object) -> Address:
    """Return the address in a text of the form ``IP:PORT``.

    Raises:
        SettingsError: the text has another form, or the port is not from 1 to
            65535.
    """
    host, _, port = str(text).rpartition(":")
    is_number = port.isascii() and port.isdigit() and len(port) <= 5
    if not _is_ip(host) or not is_number or not 0 < int(port) <= MAX_PORT:
        raise SettingsError(
            f"address must be IP:PORT with a port from 1 to {MAX_PORT}, not "
            f"{str(text)[:80]!r}"
        )
    return Address(host, int(port))


def _is_ip(text: str) -> bool:
    try:
        ipaddress.IPv4Address(text)
    except ValueError:
        return False
    return True


def load_settings() -> HostSettings:
    """Read the settings file that the environment variable names.

    Raises:
        SettingsError: the file is missing, unreadable, not JSON or
            incomplete.
    """
    path = os.environ.get(SETTINGS_VARIABLE, _DEFAULT_PATH)
    try:
        with open(path, encoding="utf-8") as file:
            content = json.load(file)
    except (OSError, ValueError) as error:
        raise SettingsError(f"cannot read {path}: {error}") from error
    return parse_settings(content)


def parse_settings(content: Any) -> HostSettings:
    """Return the settings in the decoded content of a settings file.

    Raises:
        SettingsError: a field is missing or has the wrong type.
    """
    try:
        bounds = content.get("bounds") or {}
        duties = content.get("cloudApi") or {}
        ports = content.get("internalPorts") or []
        contracts = content.get("contracts") or []
        limits = content.get("limits") or {}
        cores = float(limits.get("cpuShare") or 1) * float(
            limits.get("cores") or 1
        )
        addresses = [Address(str(content["ip"]), int(port)) for port in ports]
        return HostSettings(
            host=str(content["node"]),
            data_centre=str(content["zone"]),
            callers=parse_address(content["listen"]["front"]),
            readiness=parse_address(content["listen"]["ready"]),
            store=parse_address(content["platform"]["addr"]),
            promotion_api=parse_address(duties["addr"]) if duties else None,
            grace_s=float(bounds.get("graceS", 6)),
            drain_s=float(bounds.get("drainMs", 7000)) / 1000,
            # The first and the last port of the range, because
            # deploy/system.toml can only name fixed ports.
            metrics=addresses[-1] if addresses else None,
            peers=addresses[0] if addresses else None,
            quota=_parse_quota(bounds) if "quota" in contracts else None,
            has_teams="tenants" in contracts,
            has_load_control="pressure" in contracts,
            cores=cores,
            link_mbps=float(limits.get("linkMbps") or 0),
            max_descriptors=int(limits.get("maxFds") or 0),
            store_history_s=float(content["platform"].get("historyS") or 0),
        )
    except (AttributeError, KeyError, TypeError, ValueError) as error:
        raise SettingsError(
            f"settings: a field is missing or invalid: {error!r}"
        ) from error


def _parse_quota(bounds: Any) -> Quota:
    return Quota(
        float(bounds.get("quotaWindowS", 5)),
        float(bounds.get("quotaExcess", 0)),
        float(bounds.get("quotaSlack", 0)),
    )
