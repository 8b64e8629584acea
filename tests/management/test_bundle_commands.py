"""Tests of the bundle commands, from key generation to the roll-out."""

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
        """Run a command, check its exit code and return its output."""
        code, output, errors = test_application.run_command(
            line.replace("DIR", str(self.directory))
        )
        self.assertEqual(expected, code, output + errors)
        return output + errors

    def write_file(self, name: str, text: str) -> None:
        (self.directory / name).write_text(text)

    def sign_bundle(self, name: str, text: str) -> None:
        self.write_file("bundle.yaml", text)
        signed = self.run_command(
            "bundle sign DIR/bundle.yaml --signer ana --key-file DIR/ana.key"
        )
        self.write_file(name, signed)

    def generate_key(self) -> str:
        output = self.run_command(
            "bundle new-key ana --key-file DIR/ana.key --json"
        )
        keys: str = json.loads(output)["bundle-keys"]
        return keys

    def test_bundles_are_signed_and_rolled_out(self) -> None:
        keys = self.generate_key()
        first = test_bundle_files.VALID
        second = first.replace("version: 4", "version: 5").replace("5000", "9")
        self.sign_bundle("first.json", first)
        self.sign_bundle("second.json", second)
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

    def test_invalid_or_unsigned_bundles_change_nothing(self) -> None:
        keys = self.generate_key()
        self.sign_bundle("signed.json", test_bundle_files.VALID)
        signed = (self.directory / "signed.json").read_text()
        self.write_file(
            "changed.json", signed.replace('"slots": 2', '"slots": 3')
        )
        self.write_file("unsigned.yaml", test_bundle_files.VALID)
        self.write_file("wrong.yaml", test_bundle_files.SCHEMA_VIOLATIONS)
        with stand_in.run_platform() as port:
            platform = f"--platform-address 127.0.0.1:{port}"
            for name in ("changed.json", "unsigned.yaml", "wrong.yaml"):
                self.run_command(
                    f"bundle roll-out DIR/{name} {platform} "
                    f"--bundle-keys {keys}",
                    exit_codes.INVALID,
                )
            self.run_command(f"bundle status {platform}", exit_codes.FAILED)

    def test_validate_prints_a_summary_or_all_problems(self) -> None:
        self.write_file("right.yaml", test_bundle_files.VALID)
        self.write_file("wrong.yaml", test_bundle_files.SCHEMA_VIOLATIONS)
        summary = self.run_command("bundle validate DIR/right.yaml --json")
        self.assertEqual(2, json.loads(summary)["targets"])
        self.assertIn("has 2 targets", json.loads(summary)["warnings"])
        problems = self.run_command(
            "bundle validate DIR/wrong.yaml", exit_codes.INVALID
        )
        self.assertIn("wrong.yaml:4: groups.0.slotz: 'slotz': rem", problems)
        self.assertEqual(6, len(problems.splitlines()))

    def test_unreachable_platform_has_its_exit_code(self) -> None:
        keys = self.generate_key()
        self.sign_bundle("signed.json", test_bundle_files.VALID)
        self.run_command(
            "bundle roll-out DIR/signed.json --platform-address 127.0.0.1:1 "
            f"--bundle-keys {keys} --timeout-s 0.2",
            exit_codes.UNREACHABLE,
        )

    def test_key_file_is_private_and_never_overwritten(self) -> None:
        self.generate_key()
        mode = (self.directory / "ana.key").stat().st_mode & 0o777
        self.assertEqual(0o600, mode)
        self.run_command(
            "bundle new-key ana --key-file DIR/ana.key", exit_codes.INVALID
        )
