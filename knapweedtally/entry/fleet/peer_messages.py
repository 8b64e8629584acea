"""Encoding of the datagrams between hosts, in CBOR."""

import functools
import hashlib
import ipaddress
import math
from collections.abc import Iterable
from typing import Any
from typing import NamedTuple

import cbor2

from knapweedtally.core.groups import change_notices
from knapweedtally.core.groups import model
from knapweedtally.core.groups import sharing

# Versions of the format: with evidence only, which earlier builds read too, and
# with heard hosts. Messages of other versions are dropped.
EVIDENCE_VERSION = 5
HEARD_VERSION = 6

# First byte of a CBOR array of fewer than 24 items, without their number.
_ARRAY = 0x80

# Largest number of heard hosts in one message. With names of usual length it
# fits into one Ethernet frame; networks drop larger datagrams more often.
MAX_HEARD_HOSTS = 28

# The same for ages, which take a key and a byte each, in tenths of a second.
MAX_AGES = 190
KEY_SIZE = 5
MAX_AGE_TENTHS = 255

# Longer ages are sent as this one, in seconds. Evidence expires long before,
# and the age of evidence that was never seen is infinite.
MAX_AGE_S = 1000.0

# Largest time in a message, in microseconds.
MAX_TIME_US = 2**63


class HeardHost(NamedTuple):
    """A host that the sender of a message has heard, or heard of.

    Attributes:
        host: name of the host.
        data_centre: its data centre.
        address: IP address at which it receives messages and connections.
        port: port of the same.
        age_s: how long before the message the host was heard.
    """

    host: str
    data_centre: str
    address: str
    port: int
    age_s: float


class PeerMessage(NamedTuple):
    """One message from host to host.

    Attributes:
        host: name of the sender.
        data_centre: the sender's data centre.
        incarnation: random number of the sender's process.
        sent_s: the sender's time when it sent the message.
        echoed_s: the receiver's time in the receiver's last message, or None.
        echo_age_s: how long ago the sender had received that message.
        shared: the sender's evidence about groups.
        heard: hosts that the sender has heard, or heard of.
        ages: the same for hosts that the receiver knows, by key, as how long
            before the message each was heard, in seconds.
        lacks_names: whether the sender was told ages of hosts that it doesn't
            know.
    """

    host: str
    data_centre: str
    incarnation: int
    sent_s: float
    echoed_s: float | None
    echo_age_s: float
    shared: tuple[sharing.SharedEvidence, ...]
    heard: tuple[HeardHost, ...] = ()
    ages: tuple[tuple[bytes, float], ...] = ()
    lacks_names: bool = False


class MalformedMessage(ValueError):  # noqa: N818 - named after the cause
    """A datagram that can't be decoded as a message."""


def _to_microseconds(seconds: float) -> int:
    return round(seconds * 1e6)


def is_address(host: Any, port: Any) -> bool:
    """Return whether datagrams can be sent to an IPv4 address and a port."""
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return False
    return isinstance(host, str) and type(port) is int and 0 < port < 65536


@functools.lru_cache(maxsize=4096)
def make_host_key(host: str) -> bytes:
    """Return the key that stands for a host in ``PeerMessage.ages``."""
    return hashlib.blake2b(host.encode(), digest_size=KEY_SIZE).digest()


class Body(NamedTuple):
    """The encoded part of a message that is the same for all receivers.

    Attributes:
        shared: the evidence.
        heard: the heard hosts, or nothing if there are none.
    """

    shared: bytes
    heard: bytes


_NONE_HEARD = cbor2.dumps([]) + cbor2.dumps(b"")


def encode_body(
    shared: Iterable[sharing.SharedEvidence],
    heard: Iterable[HeardHost] = (),
    ages: Iterable[tuple[bytes, float]] = (),
) -> Body:
    """Return the part of a message that is the same for all receivers."""
    encoded = cbor2.dumps([_encode_heard(item) for item in heard])
    encoded += cbor2.dumps(
        b"".join(
            key + bytes((min(_to_tenths(age_s), MAX_AGE_TENTHS),))
            for key, age_s in ages
        )
    )
    return Body(
        cbor2.dumps([_encode_shared(item) for item in shared]),
        b"" if encoded == _NONE_HEARD else encoded,
    )


def _encode_heard(item: HeardHost) -> list[Any]:
    address = ipaddress.IPv4Address(item.address).packed
    age_tenths = _to_tenths(item.age_s)
    return [item.host, item.data_centre, address, item.port, age_tenths]


def _to_tenths(age_s: float) -> int:
    """Return an age rounded up, so that no host looks younger at each hop."""
    return math.ceil(age_s * 10)


def _encode_shared(item: sharing.SharedEvidence) -> list[Any]:
    # Builds that know no notices drop the message with one.
    notice = [int(item.change)] if item.change else []
    return [
        item.group,
        item.target,
        item.term,
        _to_microseconds(min(item.primary_age_s, MAX_AGE_S)),
        _to_microseconds(min(item.member_age_s, MAX_AGE_S)),
        _to_microseconds(min(item.position_age_s, MAX_AGE_S)),
        *item.position,
        item.is_fenced,
        item.refused_share,
        *notice,
    ]


def encode_message(message: PeerMessage, body: Body | None = None) -> bytes:
    """Return a message's bytes, with times in whole microseconds.

    Args:
        message: the message.
        body: what encode_body returned for the message, if it is known.
    """
    if body is None:
        body = encode_body(message.shared, message.heard, message.ages)
    echoed_us = (
        None if message.echoed_s is None else _to_microseconds(message.echoed_s)
    )
    has_heard = bool(body.heard) or message.lacks_names
    header: list[Any] = [
        HEARD_VERSION if has_heard else EVIDENCE_VERSION,
        message.host,
        message.data_centre,
        message.incarnation,
        _to_microseconds(message.sent_s),
        echoed_us,
        _to_microseconds(message.echo_age_s),
    ]
    encoded = [cbor2.dumps(item) for item in header]
    encoded.append(body.shared)
    count = len(header) + 1
    if has_heard:
        encoded.append(body.heard or _NONE_HEARD)
        encoded.append(cbor2.dumps(message.lacks_names))
        count += 3
    return bytes((_ARRAY + count,)) + b"".join(encoded)


def decode_message(data: bytes) -> PeerMessage:
    """Return the message in a datagram.

    Raises:
        MalformedMessage: the bytes aren't a message of a known version.
    """
    try:
        version, host, data_centre, *rest = cbor2.loads(data)
        if not isinstance(host, str):
            raise MalformedMessage("host name isn't a string")
        heard, ages, lacks_names = [], b"", False
        if version == HEARD_VERSION:
            *rest, heard, ages, lacks_names = rest
        elif version != EVIDENCE_VERSION:
            raise MalformedMessage(f"unsupported format version: {version!r}")
        incarnation, sent_us, echoed_us, echo_age_us, shared = rest
        _check_times(
            sent_us, echo_age_us, 0 if echoed_us is None else echoed_us
        )
        return PeerMessage(
            host,
            str(data_centre),
            int(incarnation),
            sent_us / 1e6,
            None if echoed_us is None else echoed_us / 1e6,
            echo_age_us / 1e6,
            tuple(_decode_shared(item) for item in shared),
            tuple(_decode_heard(item) for item in heard),
            _decode_ages(ages),
            bool(lacks_names),
        )
    except (
        cbor2.CBORDecodeError,
        OverflowError,
        TypeError,
        ValueError,
    ) as error:
        raise MalformedMessage(repr(error)) from error


def _check_times(*times_us: Any) -> None:
    """Raise MalformedMessage unless all are whole microseconds."""
    for time_us in times_us:
        if type(time_us) is not int or abs(time_us) > MAX_TIME_US:
            raise MalformedMessage("times must be whole microseconds")


def _decode_heard(item: Any) -> HeardHost:
    host, data_centre, address, port, age_tenths = item
    if not isinstance(host, str) or not isinstance(data_centre, str):
        raise MalformedMessage("host and data centre must be strings")
    if type(age_tenths) is not int or age_tenths < 0:
        raise MalformedMessage("age must be an integer, 0 or higher")
    text = str(ipaddress.IPv4Address(address))
    if not is_address(text, port):
        raise MalformedMessage(f"port must be from 1 to 65535: {port!r}")
    return HeardHost(host, data_centre, text, port, age_tenths / 10)


def _decode_ages(ages: Any) -> tuple[tuple[bytes, float], ...]:
    if not isinstance(ages, bytes) or len(ages) % (KEY_SIZE + 1):
        raise MalformedMessage("ages must be keys, each with one byte")
    return tuple(
        (ages[start : start + KEY_SIZE], ages[start + KEY_SIZE] / 10)
        for start in range(0, len(ages), KEY_SIZE + 1)
    )


def _decode_shared(item: Any) -> sharing.SharedEvidence:
    group, target, term, primary_us, member_us, position_us, *rest = item
    log_term, log_number, is_fenced, refused_share, *notice = rest
    (change,) = notice or (change_notices.Stage.NONE,)
    if not isinstance(group, str) or not isinstance(target, str):
        raise MalformedMessage("group and target must be strings")
    return sharing.SharedEvidence(
        group,
        target,
        int(term),
        primary_us / 1e6,
        member_us / 1e6,
        position_us / 1e6,
        model.Position(int(log_term), int(log_number)),
        bool(is_fenced),
        float(refused_share),
        change_notices.Stage(change),
    )
