"""Settings that the platform lays down for each process."""

import json
import os
from typing import Any
from typing import NamedTuple

SETTINGS_VARIABLE = "KNAPWEEDTALLY_SETTINGS"
_DEFAULT_PATH = "/etc/knapweedtally/local.yaml"


class SettingsError(ValueError):
    """Report a settings file that can't be used."""


class Address(NamedTuple):
    """Name a TCP endpoint.

    Attributes:
        host: IP address.
        port: port number.
    """

    host: str
    port: int


class HostSettings(NamedTuple):
    """Hold what one process needs of its settings.

    Attributes:
        host: name of the machine.
        data_centre: its data centre.
        callers: where callers connect.
        readiness: where the platform asks whether the host is ready.
        store: address of the platform's store.
        duties: address of the calls that are one host's duty; None where
            there are none.
        grace_s: time between the request to stop and the kill.
        drain_s: time within which a leaving target gets no more work.
        metrics: where measures are served; None for nowhere.
        peers: where datagrams of other hosts are received; None for nowhere.
    """

    host: str
    data_centre: str
    callers: Address
    readiness: Address
    store: Address
    duties: Address | None
    grace_s: float
    drain_s: float
    metrics: Address | None
    peers: Address | None


def parse_address(text: object) -> Address:
    """Return the address in ``IP:PORT``.

    Raises:
        SettingsError: the text holds no address.
    """
    host, _, port = str(text).rpartition(":")
    if not host or not port.isdigit():
        raise SettingsError(f"no address: {text!r}")
    return Address(host, int(port))


def load_settings() -> HostSettings:
    """Read and decode the settings file that the environment names.

    Raises:
        SettingsError: the file is missing, unreadable or incomplete.
    """
    path = os.environ.get(SETTINGS_VARIABLE, _DEFAULT_PATH)
    try:
        with open(path, encoding="utf-8") as file:
            content = json.load(file)
    except (OSError, ValueError) as error:
        raise SettingsError(f"cannot read {path}: {error}") from error
    return parse_settings(content)


def parse_settings(content: Any) -> HostSettings:
    """Return the settings in a decoded settings file.

    Raises:
        SettingsError: a field is missing or of another type.
    """
    try:
        bounds = content.get("bounds") or {}
        duties = content.get("cloudApi") or {}
        ports = content.get("internalPorts") or []
        own = [Address(str(content["ip"]), int(port)) for port in ports]
        return HostSettings(
            host=str(content["node"]),
            data_centre=str(content["zone"]),
            callers=parse_address(content["listen"]["front"]),
            readiness=parse_address(content["listen"]["ready"]),
            store=parse_address(content["platform"]["addr"]),
            duties=parse_address(duties["addr"]) if duties else None,
            grace_s=float(bounds.get("graceS", 6)),
            drain_s=float(bounds.get("drainMs", 7000)) / 1000,
            # The range's ends: deploy/system.toml can only name fixed ports.
            metrics=own[-1] if own else None,
            peers=own[0] if own else None,
        )
    except (AttributeError, KeyError, TypeError, ValueError) as error:
        raise SettingsError(f"unusable settings: {error!r}") from error
