"""Datagrams between hosts, in CBOR."""

from typing import Any
from typing import NamedTuple

import cbor2

from knapweedtally.core.groups import model
from knapweedtally.core.groups import sharing

# Version of the form; others are dropped, as during an update of the hosts.
FORM = 5

# Ages are sent up to this, in seconds; evidence has expired long before, and
# what was never seen has an infinite age.
MAX_AGE_S = 1000.0


class PeerMessage(NamedTuple):
    """Hold one message from host to host.

    Attributes:
        host: name of the sender.
        data_centre: its data centre.
        incarnation: start of the sending process.
        sent_s: the sender's time.
        echoed_s: the receiver's time in its last message, or None.
        echo_age_s: how long ago the sender received that.
        shared: evidence.
    """

    host: str
    data_centre: str
    incarnation: int
    sent_s: float
    echoed_s: float | None
    echo_age_s: float
    shared: tuple[sharing.SharedEvidence, ...]


class BrokenMessage(ValueError):  # noqa: N818 - named after the cause
    """Report a datagram that is no message."""


def _to_us(seconds: float) -> int:
    return round(seconds * 1e6)


def encode_message(message: PeerMessage) -> bytes:
    """Return a message's bytes; times travel as whole microseconds."""
    echoed_us = None if message.echoed_s is None else _to_us(message.echoed_s)
    shared = [
        [
            item.group,
            item.target,
            item.term,
            _to_us(min(item.primary_age_s, MAX_AGE_S)),
            _to_us(min(item.member_age_s, MAX_AGE_S)),
            _to_us(min(item.position_age_s, MAX_AGE_S)),
            *item.position,
            item.is_fenced,
            item.refused_share,
        ]
        for item in message.shared
    ]
    return cbor2.dumps(
        [
            FORM,
            message.host,
            message.data_centre,
            message.incarnation,
            _to_us(message.sent_s),
            echoed_us,
            _to_us(message.echo_age_s),
            shared,
        ]
    )


def decode_message(data: bytes) -> PeerMessage:
    """Return the message in a datagram.

    Raises:
        BrokenMessage: the bytes are no message of this form.
    """
    try:
        form, host, data_centre, *rest = cbor2.loads(data)
        if form != FORM or not isinstance(host, str):
            raise BrokenMessage(f"form {form!r}")
        incarnation, sent_us, echoed_us, age_us, shared = rest
        return PeerMessage(
            host,
            str(data_centre),
            int(incarnation),
            sent_us / 1e6,
            None if echoed_us is None else echoed_us / 1e6,
            age_us / 1e6,
            tuple(_decode_shared(item) for item in shared),
        )
    except (cbor2.CBORDecodeError, TypeError, ValueError) as error:
        raise BrokenMessage(repr(error)) from error


def _decode_shared(item: Any) -> sharing.SharedEvidence:
    group, target, term, primary_us, member_us, age_us, *rest = item
    log_term, number, is_fenced, refused_share = rest
    if not isinstance(group, str) or not isinstance(target, str):
        raise BrokenMessage("names are no texts")
    return sharing.SharedEvidence(
        group,
        target,
        int(term),
        primary_us / 1e6,
        member_us / 1e6,
        age_us / 1e6,
        model.Position(int(log_term), int(number)),
        bool(is_fenced),
        float(refused_share),
    )
