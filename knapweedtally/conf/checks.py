"""System checks of the settings, which report all problems at once."""

import collections
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
from typing import Any
from typing import NamedTuple

from knapweedtally.conf import secrets
from knapweedtally.conf import setting_definitions
from knapweedtally.utils import tls

MISSING = "KW001"
NOT_ALLOWED = "KW002"
UNKNOWN_VARIABLE = "KW003"
UNKNOWN_OPTION = "KW004"
PORT_USED_TWICE = "KW005"
TOKEN_KEY_IS_ADMIN_TOKEN = "KW006"
TLS_FILE_MISSING = "KW007"
TLS_FILES_UNUSABLE = "KW008"

DESCRIPTIONS = {
    MISSING: "a setting without a default has no value",
    NOT_ALLOWED: "a value is not allowed",
    UNKNOWN_VARIABLE: "an environment variable is no setting",
    UNKNOWN_OPTION: "an option is no setting",
    PORT_USED_TWICE: "two of the host's ports are the same",
    TOKEN_KEY_IS_ADMIN_TOKEN: "the admin token is also a key of tokens",
    TLS_FILE_MISSING: "some, but not all files of a TLS key are named",
    TLS_FILES_UNUSABLE: "the files of a TLS key can't be used",
}


class Problem(NamedTuple):
    """A problem that a check found.

    Attributes:
        id: id of the check, KW followed by three digits.
        name: name of the setting or environment variable at fault.
        value: the rejected value, hidden if the setting is secret.
        allowed: which values are allowed, or how to solve the problem.
    """

    id: str
    name: str
    value: str
    allowed: str

    def __str__(self) -> str:
        """Return the problem as one line."""
        return f"{self.id} {self.name}: {self.value}: {self.allowed}"


def make_value_problem(
    check_id: str, setting: setting_definitions.Setting, text: str
) -> Problem:
    """Return a problem with the value of a setting.

    Args:
        check_id: id of the check.
        setting: the setting at fault.
        text: its value as given; hidden if the setting is secret.
    """
    value = secrets.HIDDEN if setting.is_secret else repr(text)
    return Problem(
        check_id, f"--{setting.name}", value, f"use {setting.allowed}"
    )


def make_missing_problem(setting: setting_definitions.Setting) -> Problem:
    """Return the problem of a required setting that has no value."""
    return Problem(
        MISSING,
        f"--{setting.name}",
        "no value",
        f"set it or {setting.variable} to {setting.allowed}",
    )


def check_variables(names: Iterable[str]) -> Iterator[Problem]:
    """Report environment variables with the prefix that aren't settings."""
    known = {setting.variable for setting in setting_definitions.SETTINGS}
    known |= setting_definitions.COMMAND_VARIABLES
    for name in sorted(names):
        if (
            name.startswith(setting_definitions.ENVIRONMENT_PREFIX)
            and name not in known
        ):
            yield Problem(
                UNKNOWN_VARIABLE,
                name,
                "(not shown)",
                "unset it or correct its name",
            )


def check_options(names: Iterable[str]) -> Iterator[Problem]:
    """Report command options that aren't settings."""
    known = {setting.name for setting in setting_definitions.SETTINGS}
    for name in sorted(set(names) - known):
        yield Problem(
            UNKNOWN_OPTION,
            f"--{name}",
            "(not shown)",
            "leave it out or correct its name",
        )


def check_ports(values: Mapping[str, Any]) -> Iterator[Problem]:
    """Report servers of the host that share an address and port."""
    servers = [
        (f"{name}_address", f"{name}_port")
        for name in ("listen", "peer", "admin")
    ]
    used: dict[tuple[Any, Any], list[str]] = collections.defaultdict(list)
    for address, port in servers:
        if values.get(address) and values.get(port):
            endpoint = (values[address], values[port])
            used[endpoint].append(f"--{port.replace('_', '-')}")
    for (host, number), names in used.items():
        if len(names) > 1:
            yield Problem(
                PORT_USED_TWICE,
                ", ".join(names),
                f"'{host}:{number}'",
                "give each server its own port",
            )


def check_secrets(values: Mapping[str, Any]) -> Iterator[Problem]:
    """Report an admin token that is also a session token key or its id."""
    token = values.get("admin_token")
    keys = values.get("token_keys")
    if token is None or keys is None:
        return
    text = token.reveal()
    if any(text in (key.key.hex(), key.id) for key in keys.reveal()):
        yield Problem(
            TOKEN_KEY_IS_ADMIN_TOKEN,
            "--admin-token",
            secrets.HIDDEN,
            "use a token of its own",
        )


def check_tls(values: Mapping[str, Any]) -> Iterator[Problem]:
    """Report TLS files that aren't set or can't be loaded."""
    for names in _TLS_FILE_GROUPS:
        paths = [values.get(name.replace("-", "_")) for name in names]
        missing = [
            name for name, path in zip(names, paths, strict=True) if not path
        ]
        if not any(paths):
            continue
        for name in missing:
            others = ", ".join(f"--{n}" for n in names if n != name)
            remedy = f"name a file, or leave out {others}"
            yield Problem(TLS_FILE_MISSING, f"--{name}", "no value", remedy)
        if missing:
            continue
        try:
            tls.make_context(tls.CertificateFiles(*map(str, paths)), True)
        except tls.CertificateError as error:
            text, _, remedy = str(error).rpartition("; ")
            yield Problem(TLS_FILES_UNUSABLE, f"--{names[0]}", text, remedy)


# Settings that belong together, in the order of ``tls.CertificateFiles``.
_TLS_FILE_GROUPS = (
    ("tls-certificate", "tls-key"),
    ("peer-tls-certificate", "peer-tls-key", "peer-tls-authority"),
)

# Checks across settings. Each takes the valid values by field name.
CROSS_CHECKS = (check_ports, check_secrets, check_tls)
