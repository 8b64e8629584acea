"""Tests of the checks of TLS files."""

import pathlib
import tempfile

import testtools
import trustme

from knapweedtally.conf import checks
from tests.conf import test_settings


class TlsFilesTest(testtools.TestCase):
    def test_missing_and_unusable_files_are_named(self) -> None:
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        pem = pathlib.Path(directory.name, "both.pem")
        other = pathlib.Path(directory.name, "other.pem")
        authority = trustme.CA()
        authority.issue_cert("a").private_key_and_cert_chain_pem.write_to_path(
            pem
        )
        authority.issue_cert("b").private_key_pem.write_to_path(other)
        right, wrong = str(pem), str(other)
        absent = str(pem) + "-absent"
        for changes, expected in (
            ({}, []),
            ({"tls-certificate": right, "tls-key": right}, []),
            ({"tls-certificate": right}, [("KW007", "--tls-key")]),
            ({"tls-key": right}, [("KW007", "--tls-certificate")]),
            (
                {"tls-certificate": right, "tls-key": wrong},
                [("KW008", "--tls-certificate")],
            ),
            (
                {"tls-certificate": absent, "tls-key": right},
                [("KW008", "--tls-certificate")],
            ),
            (
                {"peer-tls-certificate": right, "peer-tls-key": right},
                [("KW007", "--peer-tls-authority")],
            ),
            (
                {
                    "peer-tls-certificate": right,
                    "peer-tls-key": right,
                    "peer-tls-authority": absent,
                },
                [("KW008", "--peer-tls-certificate")],
            ),
        ):
            options = {**test_settings.OPTIONS, **changes}
            found: list[checks.Problem] = test_settings.find_problems(
                options, {}
            )
            self.assertEqual(expected, [(p.id, p.name) for p in found])
