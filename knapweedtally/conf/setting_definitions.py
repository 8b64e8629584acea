"""Definitions of all settings."""

from typing import NamedTuple

from knapweedtally.conf import parsers

ENVIRONMENT_PREFIX = "KNAPWEEDTALLY_"


class Setting(NamedTuple):
    """The definition of a setting.

    Attributes:
        name: name of the command option, without leading dashes.
        parse: parser that converts the text to the value.
        allowed: description of the allowed values, for error messages.
        help: description of the setting.
        default: text used if no value is given; None if a value is required.
        default_from: name of the setting whose value is the default, or
            empty.
        is_secret: whether the value must not be shown.
    """

    name: str
    parse: parsers.Parser
    allowed: str
    help: str
    default: str | None = None
    default_from: str = ""
    is_secret: bool = False

    @property
    def field(self) -> str:
        """Return the name of the field in ``settings.Settings``."""
        return self.name.replace("-", "_")

    @property
    def variable(self) -> str:
        """Return the name of the environment variable."""
        return ENVIRONMENT_PREFIX + self.field.upper()


_NAME = "lower-case letters, digits, dots and dashes, at most 63"
_IP = "an IP address, for example 127.0.1.2"
_PORT = "a port from 0 to 65535; 0 lets the system choose"
_FILE = "the path of a PEM file, or empty"
_LOG_LEVELS = ("debug", "info", "warning", "error")
_LOG_FORMATS = ("json", "text")

SETTINGS: tuple[Setting, ...] = (
    Setting(
        "host-name",
        parsers.parse_name,
        _NAME,
        "name of this entry host, unique in the system",
    ),
    Setting(
        "data-centre",
        parsers.parse_name,
        _NAME,
        "name of this host's data centre",
    ),
    Setting(
        "listen-address",
        parsers.parse_ip,
        _IP,
        "address for callers; outgoing connections are bound to it",
    ),
    Setting(
        "listen-port",
        parsers.parse_port,
        _PORT,
        "port for callers, PostgreSQL wire protocol",
        "5432",
    ),
    Setting(
        "peer-address",
        parsers.parse_ip,
        _IP,
        "address for other entry hosts",
        default_from="listen-address",
    ),
    Setting(
        "peer-port",
        parsers.parse_port,
        _PORT,
        "port for other entry hosts",
        "7100",
    ),
    Setting(
        "admin-address",
        parsers.parse_ip,
        _IP,
        "address of the administration API",
        default_from="listen-address",
    ),
    Setting(
        "admin-port",
        parsers.parse_port,
        _PORT,
        "port of the administration API",
        "7200",
    ),
    Setting(
        "admin-token",
        parsers.parse_secret_token,
        "at least 16 characters",
        "token that the administration API demands",
        is_secret=True,
    ),
    Setting(
        "peer-token",
        parsers.parse_secret_token,
        "at least 16 characters",
        "token that entry hosts show each other, the same on every host",
        is_secret=True,
    ),
    Setting(
        "platform-address",
        parsers.parse_address,
        "IP:PORT, for example 127.0.0.1:7000",
        "address of the platform's object API",
    ),
    Setting(
        "token-keys",
        parsers.parse_token_keys,
        "ID:HEX,... with keys of at least 16 bytes; the first one signs",
        "keys of session tokens, the same on every host",
        is_secret=True,
    ),
    Setting(
        "bundle-keys",
        parsers.parse_bundle_keys,
        "OPERATOR:HEX,... with Ed25519 public keys of 32 bytes",
        "operators whose bundles are accepted",
    ),
    Setting(
        "seed-peers",
        parsers.parse_addresses,
        "IP:PORT,... or empty",
        "peer ports of hosts to ask before the platform's list is known",
        "",
    ),
    Setting(
        "log-level",
        parsers.make_choice_parser(*_LOG_LEVELS),
        f"one of {', '.join(_LOG_LEVELS)}",
        "lowest level that is logged",
        "info",
    ),
    Setting(
        "log-format",
        parsers.make_choice_parser(*_LOG_FORMATS),
        f"one of {', '.join(_LOG_FORMATS)}",
        "form of the log lines",
        "json",
    ),
    Setting(
        "drain-timeout-s",
        parsers.parse_seconds,
        "1 to 3600 seconds",
        "time for callers to leave when the host stops; transactions that are "
        "open are aborted so early that a request can still end",
        "30",
    ),
    Setting(
        "tls-certificate",
        parsers.parse_path,
        _FILE,
        "certificate for callers; empty offers them no TLS",
        "",
    ),
    Setting(
        "tls-key",
        parsers.parse_path,
        _FILE,
        "private key of --tls-certificate",
        "",
    ),
    Setting(
        "peer-tls-certificate",
        parsers.parse_path,
        _FILE,
        "certificate that this host shows peers; empty links without TLS",
        "",
    ),
    Setting(
        "peer-tls-key",
        parsers.parse_path,
        _FILE,
        "private key of --peer-tls-certificate",
        "",
    ),
    Setting(
        "peer-tls-authority",
        parsers.parse_path,
        _FILE,
        "authorities of the peers' certificates",
        "",
    ),
)

# Variables of commands that call the administration API or sign a bundle.
COMMAND_VARIABLES = frozenset(
    ENVIRONMENT_PREFIX + name for name in ("ADMIN_URL", "SIGNING_KEY")
)
