"""Tests of the settings and their checks."""

import pathlib
from typing import Any

import hypothesis
import testtools
from hypothesis import strategies as st

from knapweedtally.conf import checks
from knapweedtally.conf import setting_definitions
from knapweedtally.conf import settings

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
SECRET_TOKEN = "an-admin-token-of-the-test"
PEER_TOKEN = "a-peer-token-of-the-test"
SECRET_KEY = "00112233445566778899aabbccddeeff"
OPTIONS: dict[str, str | None] = {
    "host-name": "a1",
    "data-centre": "sala-norte",
    "listen-address": "127.0.1.2",
    "admin-token": SECRET_TOKEN,
    "peer-token": PEER_TOKEN,
    "platform-address": "127.0.0.1:7000",
    "token-keys": f"k1:{SECRET_KEY}",
    "bundle-keys": "ana:" + "ab" * 32,
}


def find_problems(
    options: dict[str, str | None], environment: dict[str, str]
) -> list[checks.Problem]:
    try:
        settings.load_settings(options, environment)
    except settings.SettingsError as error:
        return error.problems
    return []


class SettingsTest(testtools.TestCase):
    def test_settings_fields_match_the_table(self) -> None:
        fields = [setting.field for setting in setting_definitions.SETTINGS]
        self.assertEqual(list(settings.Settings._fields), fields)

    def test_options_precede_environment_and_defaults(self) -> None:
        environment = {
            "KNAPWEEDTALLY_HOST_NAME": "b1",
            "KNAPWEEDTALLY_LISTEN_PORT": "6432",
            "KNAPWEEDTALLY_ADMIN_URL": "http://127.0.0.1:1",
            "PATH": "/bin",
        }
        loaded = settings.load_settings(OPTIONS, environment)
        self.assertEqual("a1", loaded.host_name)
        self.assertEqual(6432, loaded.listen_port)
        self.assertEqual(7100, loaded.peer_port)
        self.assertEqual("127.0.1.2", loaded.peer_address)
        self.assertEqual(("127.0.0.1", 7000), tuple(loaded.platform_address))
        self.assertEqual("k1", loaded.token_keys.reveal()[0].id)

    def test_all_problems_are_reported_at_once(self) -> None:
        options = {
            **OPTIONS,
            "host-name": None,
            "listen-port": "70000",
            "peer-port": "7200",
            "log-level": "loud",
            "drain-timeout-s": "nan",
            "seed-peers": "127.0.0.1",
            "bundle-keys": "ana:abcd",
            "lisen-port": "1",
        }
        environment = {"KNAPWEEDTALLY_LISTEN_ADRESS": "127.0.0.1"}
        found = {
            (problem.id, problem.name)
            for problem in find_problems(options, environment)
        }
        self.assertEqual(
            {
                (checks.MISSING, "--host-name"),
                (checks.NOT_ALLOWED, "--listen-port"),
                (checks.NOT_ALLOWED, "--log-level"),
                (checks.NOT_ALLOWED, "--drain-timeout-s"),
                (checks.NOT_ALLOWED, "--seed-peers"),
                (checks.NOT_ALLOWED, "--bundle-keys"),
                (checks.UNKNOWN_OPTION, "--lisen-port"),
                (checks.UNKNOWN_VARIABLE, "KNAPWEEDTALLY_LISTEN_ADRESS"),
                (checks.PORT_USED_TWICE, "--peer-port, --admin-port"),
            },
            found,
        )

    def test_admin_token_that_is_a_token_key_is_rejected(self) -> None:
        options = {**OPTIONS, "admin-token": SECRET_KEY}
        problems = find_problems(options, {})
        self.assertEqual(
            [checks.TOKEN_KEY_IS_ADMIN_TOKEN],
            [problem.id for problem in problems],
        )

    def test_every_check_is_described(self) -> None:
        ids = [f"KW{number:03}" for number in range(1, 9)]
        self.assertEqual(ids, list(checks.DESCRIPTIONS))

    def test_the_reference_names_every_setting_and_check(self) -> None:
        page = (ROOT / "docs/reference/settings.md").read_text()
        for setting in setting_definitions.SETTINGS:
            start = f"| `--{setting.name}` | `{setting.variable}` | "
            self.assertIn(start + setting.allowed, page)
        for check, description in checks.DESCRIPTIONS.items():
            self.assertIn(f"| {check} | {description} |", page)

    def test_secrets_are_never_shown(self) -> None:
        loaded = settings.load_settings(OPTIONS, {})
        texts = [repr(loaded), str(settings.describe_settings(loaded))]
        for name, invalid_value in (
            ("admin-token", "short-secret"),
            ("token-keys", "k1:short-secret"),
        ):
            problems = find_problems({**OPTIONS, name: invalid_value}, {})
            texts += [str(problem) for problem in problems]
        shown = " ".join(texts)
        for secret in (SECRET_TOKEN, PEER_TOKEN, SECRET_KEY, "short-secret"):
            self.assertNotIn(secret, shown)

    @hypothesis.settings(derandomize=True, deadline=None)
    @hypothesis.given(
        st.dictionaries(
            st.sampled_from(
                [setting.name for setting in setting_definitions.SETTINGS]
            ),
            st.text(max_size=20) | st.none(),
        )
    )
    def test_any_text_is_taken_or_reported(
        self, changes: dict[str, Any]
    ) -> None:
        options = {**OPTIONS, **changes}
        problems = find_problems(options, {})
        if not problems:
            settings.load_settings(options, {})
