"""Tests of the commands on bundles, from a key to the roll-out."""

import json
import pathlib
import tempfile

import testtools

from knapweedtally.management import exit_codes
from tests.management import test_application
from tests.management import test_bundle_files
from tests.store import stand_in


class BundleCommandsTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.directory = pathlib.Path(directory.name)

    def run_command(self, line: str, expected: int = exit_codes.OK) -> str:
        """Run a command, check its code, and return what it printed."""
        code, output, errors = test_application.run_command(
            line.replace("DIR", str(self.directory))
        )
        self.assertEqual(expected, code, output + errors)
        return output + errors

    def write(self, name: str, text: str) -> None:
        (self.directory / name).write_text(text)

    def make_signed(self, name: str, text: str) -> None:
        self.write("bundle.yaml", text)
        signed = self.run_command(
            "bundle sign DIR/bundle.yaml --signer ana --key-file DIR/ana.key"
        )
        self.write(name, signed)

    def make_key(self) -> str:
        made = self.run_command(
            "bundle new-key ana --key-file DIR/ana.key --json"
        )
        keys: str = json.loads(made)["bundle-keys"]
        return keys

    def test_from_a_key_to_the_roll_out(self) -> None:
        keys = self.make_key()
        first = test_bundle_files.RIGHT
        second = first.replace("version: 4", "version: 5").replace("5000", "9")
        self.make_signed("first.json", first)
        self.make_signed("second.json", second)
        with stand_in.run_platform() as port:
            platform = f"--platform-address 127.0.0.1:{port}"
            options = f"{platform} --bundle-keys {keys}"
            self.run_command(f"bundle status {platform}", exit_codes.FAILED)
            self.run_command(f"bundle roll-out DIR/first.json {options}")
            changes = self.run_command(
                f"bundle diff DIR/second.json {platform} --json"
            )
            self.assertEqual(
                ["groups[fog].read_rules", "version"],
                [change["path"] for change in json.loads(changes)],
            )
            self.run_command(f"bundle roll-out DIR/second.json {options}")
            refused = self.run_command(
                f"bundle roll-out DIR/first.json {options}",
                exit_codes.CONFLICT,
            )
            self.assertIn("version 5, signed by ana, is current", refused)
            status = json.loads(
                self.run_command(f"bundle status {platform} --json")
            )
        self.assertEqual((5, "ana"), (status["version"], status["signer"]))
        self.assertEqual(2, len(status["operations"]))

    def test_wrong_or_unsigned_bundles_change_nothing(self) -> None:
        keys = self.make_key()
        self.make_signed("signed.json", test_bundle_files.RIGHT)
        signed = (self.directory / "signed.json").read_text()
        self.write("changed.json", signed.replace('"slots": 2', '"slots": 3'))
        self.write("unsigned.yaml", test_bundle_files.RIGHT)
        self.write("wrong.yaml", test_bundle_files.WRONG_FORM)
        with stand_in.run_platform() as port:
            platform = f"--platform-address 127.0.0.1:{port}"
            for name in ("changed.json", "unsigned.yaml", "wrong.yaml"):
                self.run_command(
                    f"bundle roll-out DIR/{name} {platform} "
                    f"--bundle-keys {keys}",
                    exit_codes.INVALID,
                )
            self.run_command(f"bundle status {platform}", exit_codes.FAILED)

    def test_validate_prints_a_summary_or_all_mistakes(self) -> None:
        self.write("right.yaml", test_bundle_files.RIGHT)
        self.write("wrong.yaml", test_bundle_files.WRONG_FORM)
        summary = self.run_command("bundle validate DIR/right.yaml --json")
        self.assertEqual(2, json.loads(summary)["targets"])
        self.assertIn("has 2 targets", json.loads(summary)["warnings"])
        mistakes = self.run_command(
            "bundle validate DIR/wrong.yaml", exit_codes.INVALID
        )
        self.assertIn("wrong.yaml:4: groups.0.slotz: 'slotz': rem", mistakes)
        self.assertEqual(6, len(mistakes.splitlines()))

    def test_without_a_platform_nothing_is_sent(self) -> None:
        keys = self.make_key()
        self.make_signed("signed.json", test_bundle_files.RIGHT)
        self.run_command(
            "bundle roll-out DIR/signed.json --platform-address 127.0.0.1:1 "
            f"--bundle-keys {keys} --timeout-s 0.2",
            exit_codes.UNREACHABLE,
        )

    def test_a_key_s_file_is_never_replaced_and_is_its_owner_s(self) -> None:
        self.make_key()
        mode = (self.directory / "ana.key").stat().st_mode & 0o777
        self.assertEqual(0o600, mode)
        self.run_command(
            "bundle new-key ana --key-file DIR/ana.key", exit_codes.INVALID
        )
