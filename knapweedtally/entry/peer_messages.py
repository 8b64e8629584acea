"""Encoding of the datagrams between hosts, in CBOR."""

from typing import Any
from typing import NamedTuple

import cbor2

from knapweedtally.core.groups import model
from knapweedtally.core.groups import sharing

# Version of the format. Messages of other versions, which arrive while hosts
# are being updated, are dropped.
FORMAT_VERSION = 5

# Longer ages are sent as this one, in seconds. Evidence expires long before,
# and the age of evidence that was never seen is infinite.
MAX_AGE_S = 1000.0


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
    """

    host: str
    data_centre: str
    incarnation: int
    sent_s: float
    echoed_s: float | None
    echo_age_s: float
    shared: tuple[sharing.SharedEvidence, ...]


class MalformedMessage(ValueError):  # noqa: N818 - named after the cause
    """A datagram that can't be decoded as a message."""


def _to_microseconds(seconds: float) -> int:
    return round(seconds * 1e6)


def encode_message(message: PeerMessage) -> bytes:
    """Return a message's bytes, with times in whole microseconds."""
    echoed_us = (
        None if message.echoed_s is None else _to_microseconds(message.echoed_s)
    )
    shared = [
        [
            item.group,
            item.target,
            item.term,
            _to_microseconds(min(item.primary_age_s, MAX_AGE_S)),
            _to_microseconds(min(item.member_age_s, MAX_AGE_S)),
            _to_microseconds(min(item.position_age_s, MAX_AGE_S)),
            *item.position,
            item.is_fenced,
            item.refused_share,
        ]
        for item in message.shared
    ]
    return cbor2.dumps(
        [
            FORMAT_VERSION,
            message.host,
            message.data_centre,
            message.incarnation,
            _to_microseconds(message.sent_s),
            echoed_us,
            _to_microseconds(message.echo_age_s),
            shared,
        ]
    )


def decode_message(data: bytes) -> PeerMessage:
    """Return the message in a datagram.

    Raises:
        MalformedMessage: the bytes aren't a message of this format version.
    """
    try:
        version, host, data_centre, *rest = cbor2.loads(data)
        if version != FORMAT_VERSION or not isinstance(host, str):
            raise MalformedMessage(
                "unsupported format version, or host name isn't a string:"
                f" version {version!r}"
            )
        incarnation, sent_us, echoed_us, echo_age_us, shared = rest
        return PeerMessage(
            host,
            str(data_centre),
            int(incarnation),
            sent_us / 1e6,
            None if echoed_us is None else echoed_us / 1e6,
            echo_age_us / 1e6,
            tuple(_decode_shared(item) for item in shared),
        )
    except (cbor2.CBORDecodeError, TypeError, ValueError) as error:
        raise MalformedMessage(repr(error)) from error


def _decode_shared(item: Any) -> sharing.SharedEvidence:
    group, target, term, primary_us, member_us, position_us, *rest = item
    log_term, log_number, is_fenced, refused_share = rest
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
    )
