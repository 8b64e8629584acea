"""System checks of the settings; all mistakes are found at once."""

import collections
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
from typing import Any
from typing import NamedTuple

from knapweedtally.conf import secrets
from knapweedtally.conf import table
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
    """Describe one mistake.

    Attributes:
        id: id of the check.
        name: name of the setting or of the variable.
        value: the wrong value, hidden when it is a secret.
        allowed: what is allowed or what to do.
    """

    id: str
    name: str
    value: str
    allowed: str

    def __str__(self) -> str:
        """Return the mistake as one line."""
        return f"{self.id} {self.name}: {self.value}: {self.allowed}"


def make_problem(check: str, setting: table.Setting, text: str) -> Problem:
    """Return a mistake of one setting, without its value if it is secret."""
    value = secrets.HIDDEN if setting.is_secret else repr(text)
    return Problem(check, f"--{setting.name}", value, f"use {setting.allowed}")


def make_missing(setting: table.Setting) -> Problem:
    """Return the mistake of a setting that has no value."""
    return Problem(
        MISSING,
        f"--{setting.name}",
        "no value",
        f"set it or {setting.variable} to {setting.allowed}",
    )


def check_variables(names: Iterable[str]) -> Iterator[Problem]:
    """Find environment variables with the prefix that are no settings."""
    known = {setting.variable for setting in table.SETTINGS}
    known |= table.COMMAND_VARIABLES
    for name in sorted(names):
        if name.startswith(table.ENVIRONMENT_PREFIX) and name not in known:
            yield Problem(
                UNKNOWN_VARIABLE,
                name,
                "(not shown)",
                "unset it or correct its name",
            )


def check_options(names: Iterable[str]) -> Iterator[Problem]:
    """Find options that are no settings."""
    known = {setting.name for setting in table.SETTINGS}
    for name in sorted(set(names) - known):
        yield Problem(
            UNKNOWN_OPTION,
            f"--{name}",
            "(not shown)",
            "leave it out or correct its name",
        )


def check_ports(values: Mapping[str, Any]) -> Iterator[Problem]:
    """Find addresses and ports that two servers of the host would share."""
    servers = [
        (f"{name}_address", f"{name}_port")
        for name in ("listen", "peer", "admin")
    ]
    used: dict[tuple[Any, Any], list[str]] = collections.defaultdict(list)
    for address, port in servers:
        if values.get(address) and values.get(port):
            place = (values[address], values[port])
            used[place].append(f"--{port.replace('_', '-')}")
    for (host, number), names in used.items():
        if len(names) > 1:
            yield Problem(
                PORT_USED_TWICE,
                ", ".join(names),
                f"'{host}:{number}'",
                "give each server its own port",
            )


def check_secrets(values: Mapping[str, Any]) -> Iterator[Problem]:
    """Find a secret that serves two purposes."""
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
    """Find TLS files that are missing or can't be used."""
    for names in _TLS_FILES:
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


# Settings that go together, in the order of ``tls.CertificateFiles``.
_TLS_FILES = (
    ("tls-certificate", "tls-key"),
    ("peer-tls-certificate", "peer-tls-key", "peer-tls-authority"),
)

# Checks over several settings; each takes the values that are known, by field.
CROSS_CHECKS = (check_ports, check_secrets, check_tls)
