"""Objects whose written form other builds of the program must read.

Each sample has a name, an object, and the functions that write the object and
read its written form. The forms that an earlier build wrote are in
``recorded.json`` under the same names.
"""

import functools
import json
import pathlib
import tempfile
from collections.abc import Callable
from typing import Any
from typing import NamedTuple

from knapweedtally.core import model
from knapweedtally.core import store_revisions
from knapweedtally.core import watch_confirmation
from knapweedtally.core.bundles import codec as bundle_codec
from knapweedtally.core.bundles import signatures
from knapweedtally.core.explanations import state as explanations_state
from knapweedtally.core.failover import records
from knapweedtally.core.groups import model as group_model
from knapweedtally.core.groups import promotion_lease
from knapweedtally.core.groups import sharing
from knapweedtally.core.groups import statements
from knapweedtally.core.membership import hosts
from knapweedtally.core.membership import messages
from knapweedtally.core.membership import registers
from knapweedtally.core.membership import state as membership_state
from knapweedtally.core.sessions import token
from knapweedtally.entry.fleet import extension_messages
from knapweedtally.entry.fleet import peer_messages as datagrams
from knapweedtally.entry.fleet import watch_confirmations
from knapweedtally.management import bundle_files
from knapweedtally.peers import codec as peer_codec
from knapweedtally.peers import messages as peer_messages
from knapweedtally.platform import line_protocol
from knapweedtally.platform import promotion_call
from knapweedtally.platform import store_calls
from knapweedtally.utils import http

FOLDER = pathlib.Path(__file__).resolve().parent
BUNDLE_FILE = FOLDER / "bundle.yaml"
PRIVATE_KEY = bytes(range(32))
TOKEN_KEY = token.SigningKey("k1", bytes(range(32, 64)))
CALLER = "caller-ü"
LEASE_KIND = "knapweedtally-duties"
LEASE_NAME = "promotion"


class Sample(NamedTuple):
    """An object with its writer and its reader.

    Attributes:
        name: key of the written form in ``recorded.json``.
        value: the object.
        write: returns the written form as text; binary forms in hexadecimal.
        read: returns the object for a written form; None if the program only
            writes it.
    """

    name: str
    value: Any
    write: Callable[[Any], str]
    read: Callable[[str], Any] | None = None


def _list_datagrams() -> list[Sample]:
    position = group_model.Position(7, 4_000_000_123)
    shared = (
        sharing.SharedEvidence(
            "g", "g-1", 7, 0.25, 1000.0, 0.000_001, position, True, 0.5
        ),
        sharing.SharedEvidence("h", "h-é", 0, 1.5, 2.0, 3.0, position),
    )
    message = datagrams.PeerMessage(
        "host-1", "sala-norte", 2**40, 12.5, 11.25, 0.125, shared
    )
    first = datagrams.PeerMessage("host-2", "archivo", 1, 0.5, None, 0.0, ())
    return [
        Sample(
            f"datagram {name}",
            value,
            lambda value: datagrams.encode_message(value).hex(),
            lambda text: datagrams.decode_message(bytes.fromhex(text)),
        )
        for name, value in (("with evidence", message), ("first", first))
    ]


def _list_extension_messages() -> list[Sample]:
    return [
        Sample(
            f"extension store-confirmed{suffix}",
            (
                "host-1",
                watch_confirmations.CONFIRMATION_KIND,
                _make_confirmation_payload(generation),
            ),
            lambda value: extension_messages.encode_message(*value).hex(),
            lambda text: extension_messages.decode_message(bytes.fromhex(text)),
        )
        for generation, suffix in ((0, ""), (3, " with generation"))
    ]


def _make_confirmation_payload(generation: int) -> list[Any]:
    confirmation = watch_confirmation.Confirmation(
        "servers", store_revisions.Revision(generation, 41), 0.25
    )
    items = watch_confirmation.encode_confirmations([confirmation])
    return [2**31, 12_500_000, items]


def make_registers() -> tuple[model.Register, ...]:
    """Return a register of each kind; the one of a group has a record."""
    host = membership_state.Host(
        "host-1",
        "127.0.1.1",
        7100,
        7200,
        "sala-norte",
        membership_state.Status.SUSPECT,
        12,
        1_700_000_000,
        9,
    )
    return (
        records.format_register("fog-1", _make_record()),
        hosts.build_register(host),
        model.Register(
            "observation",
            "fog-1-a@host-1",
            (1_700_000_000, 3),
            {"reason": "no answer", "term": 4, "opened_term": 3},
        ),
        model.Register("target", "fog-1-a", (4, 2), {"state": "draining"}),
        model.Register("bundle", "current", (12,), _make_plain_bundle()),
    )


def _make_record() -> model.GroupRecord:
    return model.GroupRecord(
        17, 4, model.Phase.OPEN, "fog-1-a", "host-1-5", "fog-1-b"
    )


def _list_peer_messages() -> list[Sample]:
    decision = explanations_state.Decision(
        "host-1-5-1",
        12.5,
        "routing",
        "request",
        "fog-1-a",
        "The newest one.",
        {"ages": [1, 2.5, None], "is_primary": True, "raw": b"\x00\xff"},
        "None needed.",
    )
    entries = (
        messages.DigestEntry("fog-1", (4, 1, 17)),
        messages.DigestEntry("fog-2", (0, 0, 2**64 - 1)),
    )
    hello = peer_messages.Hello(
        "secret-token-1234", "host-1", 5, peer_messages.Purpose.LINK
    )
    query = hello._replace(purpose=peer_messages.Purpose.QUERY)
    values = [
        ("hello for a link", hello),
        ("hello for a query", query),
        ("decision request", peer_messages.DecisionRequest("host-1-5-1")),
        ("decision answer", peer_messages.DecisionAnswer(decision)),
        ("empty decision answer", peer_messages.DecisionAnswer(None)),
        ("heartbeat", messages.Heartbeat()),
        *(
            (f"delta of a {register.kind}", messages.Deltas((register,)))
            for register in make_registers()[:4]
        ),
        ("summary", messages.Summary({"group": 2**63 + 1, "host": 0})),
        ("digest", messages.Digest("group", "fog-1", "", entries, True)),
        ("probe request", messages.ProbeRequest("host-2")),
        ("probe answer", messages.ProbeAnswer("host-2")),
    ]
    return [
        Sample(
            f"peer message {name}",
            value,
            lambda value: peer_codec.encode_message(value).hex(),
            lambda text: peer_codec.decode_message(bytes.fromhex(text)),
        )
        for name, value in values
    ]


def make_large_message() -> messages.Deltas:
    """Return a message that is large enough to be compressed."""
    return messages.Deltas(make_registers() * 3)


def _list_tokens() -> list[Sample]:
    positions = {
        "fog-1": model.Position(4, 123_456_789_012),
        "fog-2": model.Position(0, 0),
    }
    return [
        Sample(
            f"session token {name}",
            value,
            lambda value: token.encode_token(TOKEN_KEY, CALLER, value),
            lambda text: token.decode_token((TOKEN_KEY,), CALLER, text),
        )
        for name, value in (("with positions", positions), ("empty", {}))
    ]


def _make_plain_bundle() -> dict[str, Any]:
    """Return the plain form of a bundle without a signature."""
    targets = (
        model.Target("fog-1-a", "127.0.1.11", 15001, "sala-norte"),
        model.Target("fog-1-b", "::1", 15002, "sala-sur"),
        model.Target("fog-1-c", "127.0.3.11", 15003, "archivo"),
    )
    rules = (model.ReadRule(frozenset({"readings", "b"}), 500),)
    group = model.Group(
        "fog-1",
        targets,
        20,
        3,
        8_000,
        rules,
        frozenset({"fog-1-c"}),
        4_000,
        50,
    )
    default_group = model.Group(
        "fog-2",
        (model.Target("fog-2-a", "127.0.1.12", 15001, "sala-norte"),),
    )
    groups = {"fog-1": group, "fog-2": default_group}
    bundle = model.Bundle(12, "", groups, "ana")
    return bundle_codec.dump_bundle(bundle)


def _read_plain_bundle(text: str) -> dict[str, Any]:
    return bundle_codec.dump_bundle(bundle_codec.parse_bundle(json.loads(text)))


def _read_yaml(text: str) -> dict[str, Any]:
    """Read a bundle from a file of text with default values filled in."""
    with tempfile.NamedTemporaryFile("w", encoding="utf-8") as file:
        file.write(text)
        file.flush()
        value = bundle_files.load_bundle_file(file.name)
    return bundle_codec.dump_bundle(bundle_codec.parse_bundle(value))


def _list_bundles() -> list[Sample]:
    plain = _make_plain_bundle()
    return [
        Sample("bundle plain form", plain, json.dumps, _read_plain_bundle),
        Sample(
            "bundle canonical bytes",
            plain,
            lambda value: bundle_codec.get_canonical_bytes(value).decode(),
            _read_plain_bundle,
        ),
        Sample("bundle digest", plain, bundle_codec.compute_digest),
        Sample(
            "bundle signature",
            plain,
            lambda value: signatures.sign_bundle(value, PRIVATE_KEY),
        ),
        Sample(
            "bundle public key",
            PRIVATE_KEY,
            lambda value: signatures.derive_public_key(value).hex(),
        ),
        Sample(
            "bundle file",
            BUNDLE_FILE.read_text(encoding="utf-8"),
            lambda value: json.dumps(_read_yaml(value)),
        ),
    ]


def _dump_json(value: Any) -> str:
    return json.dumps(value, ensure_ascii=True)


def _read_record(version: int, text: str) -> model.GroupRecord | None:
    return records.parse_record(version, json.loads(text))


def _list_records() -> list[Sample]:
    record = _make_record()
    electing = model.GroupRecord(18, 5, model.Phase.ELECTING, "", "host-2-1")
    samples = [
        Sample(
            f"group record {name}",
            value,
            lambda value: _dump_json(records.format_value(value)),
            functools.partial(_read_record, value.version),
        )
        for name, value in (("open", record), ("electing", electing))
    ]
    samples += [
        Sample(
            f"register of a {register.kind}",
            register,
            _dump_json,
            lambda text: _read_register(json.loads(text)),
        )
        for register in make_registers()
    ]
    samples.append(
        Sample("hashes of registers", make_registers(), _hash_registers)
    )
    return samples


def _read_register(value: list[Any]) -> model.Register:
    """Return a register, rebuilt from its parsed contents if possible."""
    kind, name, version, content = value
    register = model.Register(kind, name, tuple(version), content)
    record = records.parse_register(register) if kind == "group" else None
    if record is not None:
        return records.format_register(name, record)
    host = hosts.read_host(register) if kind == "host" else None
    return register if host is None else hosts.build_register(host)


def _hash_registers(values: tuple[model.Register, ...]) -> str:
    store = membership_state.RegisterStore()
    for register in values:
        registers.put_register(store, register)
    return _dump_json(store.hashes)


def _format_request(request: http.Request) -> str:
    method, target, headers, body, *_ = request
    return _dump_json([method, target, headers, body.decode()])


def _read_lease(text: str) -> promotion_lease.Lease | None:
    body = json.loads(json.loads(text)[3])
    return promotion_lease.parse_lease(body["spec"])


def _write_lease(lease: promotion_lease.Lease) -> str:
    return _format_request(
        store_calls.make_replace_request(
            LEASE_KIND, LEASE_NAME, promotion_lease.format_lease(lease), 41
        )
    )


def _write_first_lease(lease: promotion_lease.Lease) -> str:
    return _format_request(
        store_calls.make_create_request(
            LEASE_KIND, LEASE_NAME, promotion_lease.format_lease(lease)
        )
    )


def _list_store_requests() -> list[Sample]:
    requests = {
        "first page": store_calls.make_list_request("servers", None),
        "next page": store_calls.make_list_request("servers", "g 1/é"),
        "watch": store_calls.make_watch_request("servers", 41, 25.0),
        "read": store_calls.make_read_request(LEASE_KIND, LEASE_NAME),
        "promotion": promotion_call.make_request("g", "g-1", "host-1", 9),
    }
    held = promotion_lease.Lease("host-1", "1f2e3d", 9, True, 3)
    released = held._replace(is_held=False)
    return [
        *(
            Sample(f"request {name}", request, _format_request)
            for name, request in requests.items()
        ),
        Sample("held lease", held, _write_lease, _read_lease),
        Sample("released lease", released, _write_lease, _read_lease),
        Sample("first lease", held, _write_first_lease, _read_lease),
    ]


def _list_sent_lines() -> list[Sample]:
    states = statements.SessionState
    position = group_model.Position(7, 123)
    sent = {
        "start": line_protocol.encode_start("g", "user", "g-1"),
        "query": line_protocol.encode_query(b"q1", b"READ a"),
        "read since": line_protocol.add_required_position(b"READ a", position),
        "position": line_protocol.encode_position(position),
        "set": line_protocol.encode_set(b"a", b"1 2"),
        "unset": line_protocol.encode_set(b"a", b""),
        "prepare": line_protocol.encode_prepare(b"p", b"WRITE a 1"),
        "execute": line_protocol.encode_execute(b"p", b"1 2"),
        "execute without arguments": line_protocol.encode_execute(b"p", b""),
        "pause": line_protocol.encode_pause(7),
        "step down": line_protocol.encode_step_down(8),
        "begin": line_protocol.BEGIN,
        "begin read": line_protocol.BEGIN_READ,
        "rollback": line_protocol.ROLLBACK,
        "reset": line_protocol.RESET,
        "status": line_protocol.STATUS,
        "resume": line_protocol.RESUME,
        "done": line_protocol.encode_done(b"g-1.q1.2"),
        "done without signature": line_protocol.encode_done(),
        **{
            f"ready {state.name}": line_protocol.encode_ready(state, b"7.123")
            for state in states
        },
        **{
            f"error {code.name}": line_protocol.encode_error(code, b"why")
            for code in statements.Code
        },
        "error without detail": line_protocol.encode_error(
            statements.Code.BUSY, b""
        ),
    }
    return [
        Sample(f"line {name}", line, lambda value: str(value.decode()))
        for name, line in sent.items()
    ]


QUERIES = (
    b"BEGIN",
    b"BEGIN READ",
    b"COMMIT",
    b"ROLLBACK",
    b"READ a",
    b"WRITE a 1",
    b"SET a 1 2",
    b"PREPARE p READ a",
    b"EXEC p 1",
    b"CLOSE p",
    b"SELECT 1",
)
ERROR_WORDS = (
    *("BUSY", "ABORTED", "LAGGING", "READONLY", "WRONGNODE", "MAXCONN"),
    *("INDOUBT", "TIMEOUT", "FAIL", "NOSTMT", "NODB", "TOOBIG", "MALFORMED"),
    "NEWER",
)
ANSWERS = (
    b"ROW 1\r\nROW 2\r\nDONE g-1.q1.2\r\nREADY I 7.123\r\n",
    b"ROW primary 7 7.123 0 12.5 3 4\r\nDONE -\r\nREADY T -\r\n",
    *(
        b"ERROR %b why not\r\nREADY E 7.123\r\n" % word.encode()
        for word in ERROR_WORDS
    ),
)


def _format_parsed(value: Any) -> str:
    """Return parsed values as JSON; enumerations by their names."""
    return json.dumps(
        _convert_parsed(value), ensure_ascii=True, separators=(",", ":")
    )


def _convert_parsed(value: Any) -> Any:
    if isinstance(value, tuple | list):
        return [_convert_parsed(item) for item in value]
    if isinstance(value, bytes):
        return value.decode()
    return getattr(value, "name", value)


def _parse_answer(data: bytes) -> str:
    (answer,) = line_protocol.AnswerReader().feed(data)
    status = line_protocol.parse_status(answer)
    return _format_parsed([answer, status])


def _parse_query(text: bytes) -> str:
    return _format_parsed(line_protocol.parse_query(b"QUERY q1 " + text))


def _list_received_lines() -> list[Sample]:
    return [
        *(
            Sample(f"statement {text.decode()}", text, _parse_query)
            for text in QUERIES
        ),
        *(
            Sample(f"answer {data.split()[1].decode()}", data, _parse_answer)
            for data in ANSWERS
        ),
        Sample(
            "start of a caller",
            b"START g-primary tests",
            lambda line: str(line_protocol.parse_start(line)),
        ),
        Sample(
            "start at a target",
            b"START g user g-1",
            lambda line: _format_parsed(line_protocol.parse_target_start(line)),
        ),
    ]


def list_samples() -> list[Sample]:
    """Return all samples."""
    return [
        *_list_datagrams(),
        *_list_extension_messages(),
        *_list_peer_messages(),
        *_list_tokens(),
        *_list_bundles(),
        *_list_records(),
        *_list_store_requests(),
        *_list_sent_lines(),
        *_list_received_lines(),
    ]
