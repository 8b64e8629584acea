"""Tests that forms which an earlier build wrote are written and read alike."""

import ast
import json
import pathlib
import zlib
from typing import Any

import cbor2
import testtools

from knapweedtally.core.bundles import signatures
from knapweedtally.entry.members import lease_manager
from knapweedtally.peers import codec as peer_codec
from tests.compatibility import samples

ENTRY = samples.FOLDER.parent.parent / "knapweedtally" / "entry"
RECORDED: dict[str, str] = json.loads(
    (samples.FOLDER / "recorded.json").read_text(encoding="utf-8")
)
LOG_EVENTS: dict[str, list[list[str]]] = json.loads(
    (samples.FOLDER / "log_events.json").read_text(encoding="utf-8")
)
COMPRESSED = "compressed peer message"


def list_log_events(folder: pathlib.Path) -> dict[str, list[list[str]]]:
    """Return the field names of each call that writes a log event.

    Only calls of ``write`` with literal events are found.
    """
    events: dict[str, list[list[str]]] = {}
    for path in sorted(folder.rglob("*.py")):
        for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
            if getattr(getattr(node, "func", None), "attr", "") != "write":
                continue
            assert isinstance(node, ast.Call)
            fields = sorted(keyword.arg or "**" for keyword in node.keywords)
            for event in _list_literals(node.args[0]):
                events.setdefault(event, []).append(fields)
    return {event: sorted(calls) for event, calls in sorted(events.items())}


def _list_literals(node: ast.expr) -> list[str]:
    """Return the strings of a literal or of both branches of a condition."""
    if isinstance(node, ast.IfExp):
        return _list_literals(node.body) + _list_literals(node.orelse)
    value = node.value if isinstance(node, ast.Constant) else None
    return [value] if isinstance(value, str) else []


class RecordedTest(testtools.TestCase):
    def test_each_form_is_written_as_recorded(self) -> None:
        written = {
            sample.name: sample.write(sample.value)
            for sample in samples.list_samples()
        }
        recorded = {k: v for k, v in RECORDED.items() if k != COMPRESSED}
        self.assertEqual(recorded, written)

    def test_each_recorded_form_is_read(self) -> None:
        expected: dict[str, Any] = {}
        read: dict[str, Any] = {}
        for sample in samples.list_samples():
            if sample.read is not None:
                expected[sample.name] = sample.value
                read[sample.name] = sample.read(RECORDED[sample.name])
        self.assertEqual(expected, read)

    def test_samples_have_different_names(self) -> None:
        names = [sample.name for sample in samples.list_samples()]
        self.assertEqual(len(set(names)), len(names))

    def test_each_type_of_peer_message_has_a_sample(self) -> None:
        types = {type(sample.value) for sample in samples.list_samples()}
        self.assertEqual(set(), peer_codec.CODECS.keys() - types)

    def test_compressed_message(self) -> None:
        # The compressed bytes depend on the version of zlib, so what is
        # written is compared after decompression.
        message = samples.make_large_message()
        data = bytes.fromhex(RECORDED[COMPRESSED])
        self.assertEqual(message, peer_codec.decode_message(data))
        code, compressed = cbor2.loads(data)
        new_code, new_compressed = cbor2.loads(
            peer_codec.encode_message(message)
        )
        self.assertEqual(code, new_code)
        self.assertEqual(
            zlib.decompress(compressed), zlib.decompress(new_compressed)
        )

    def test_recorded_signature_is_accepted(self) -> None:
        value = json.loads(RECORDED["bundle canonical bytes"])
        value["signature"] = RECORDED["bundle signature"]
        key = bytes.fromhex(RECORDED["bundle public key"])
        self.assertEqual("", signatures.verify_signature(value, {"ana": key}))

    def test_object_of_the_lease_has_the_recorded_name(self) -> None:
        self.assertEqual(
            (samples.LEASE_KIND, samples.LEASE_NAME),
            (lease_manager.LEASE_KIND, lease_manager.LEASE_NAME),
        )

    def test_log_events_have_the_recorded_names(self) -> None:
        self.assertEqual(LOG_EVENTS, list_log_events(ENTRY))
