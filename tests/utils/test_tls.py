"""Tests of the configuration checks of TLS files."""

import pathlib
import tempfile

import testtools
import trustme

from knapweedtally.conf import checks
from tests.conf import test_settings


class TlsFilesTest(testtools.TestCase):
    def test_settings_of_missing_and_unusable_files_are_reported(self) -> None:
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        pem = pathlib.Path(directory.name, "both.pem")
        mismatched_key = pathlib.Path(directory.name, "other.pem")
        authority = trustme.CA()
        authority.issue_cert("a").private_key_and_cert_chain_pem.write_to_path(
            pem
        )
        authority.issue_cert("b").private_key_pem.write_to_path(mismatched_key)
        valid_path, mismatched_path = str(pem), str(mismatched_key)
        missing_path = str(pem) + "-absent"
        for changes, expected in (
            ({}, []),
            ({"tls-certificate": valid_path, "tls-key": valid_path}, []),
            ({"tls-certificate": valid_path}, [("KW007", "--tls-key")]),
            ({"tls-key": valid_path}, [("KW007", "--tls-certificate")]),
            (
                {"tls-certificate": valid_path, "tls-key": mismatched_path},
                [("KW008", "--tls-certificate")],
            ),
            (
                {"tls-certificate": missing_path, "tls-key": valid_path},
                [("KW008", "--tls-certificate")],
            ),
            (
                {
                    "peer-tls-certificate": valid_path,
                    "peer-tls-key": valid_path,
                },
                [("KW007", "--peer-tls-authority")],
            ),
            (
                {
                    "peer-tls-certificate": valid_path,
                    "peer-tls-key": valid_path,
                    "peer-tls-authority": missing_path,
                },
                [("KW008", "--peer-tls-certificate")],
            ),
        ):
            options = {**test_settings.OPTIONS, **changes}
            found: list[checks.Problem] = test_settings.find_problems(
                options, {}
            )
            self.assertEqual(expected, [(p.id, p.name) for p in found])
