"""Tests of the identification of callers' teams."""

import testtools

from knapweedtally.core.groups import model
from knapweedtally.core.teams import identification
from knapweedtally.platform import records

_Refusal = identification.Refusal


def make_configuration(**keys: str) -> model.Configuration:
    """Return a configuration with one team for each name and its key."""
    teams = {
        name: model.Team(name, frozenset([key])) for name, key in keys.items()
    }
    key_teams = {key: name for name, key in keys.items()}
    return model.Configuration(1, {}, {}, 0.0, teams, key_teams)


class IdentificationTest(testtools.TestCase):
    """Which team a caller belongs to."""

    def test_outcomes(self) -> None:
        # Guards against a caller that is served for no team or another one.
        teams = make_configuration(a="key-a", b="key-b")
        empty = make_configuration(a="")
        for configuration, is_public, key, team, refusal in (
            (teams, False, "key-b", "b", None),
            (teams, False, "", "", _Refusal.MISSING_KEY),
            (teams, False, "key-c", "", _Refusal.UNKNOWN_KEY),
            (teams, True, "key-a", "a", None),
            (teams, True, "key-c", "", None),
            (teams, True, "", "", None),
            (empty, False, "", "", _Refusal.MISSING_KEY),
            (make_configuration(), False, "key-c", "", None),
        ):
            self.assertEqual(
                (team, refusal),
                identification.identify(configuration, is_public, key),
            )

    def test_key_that_was_known_before_is_revoked(self) -> None:
        # Guards against an operator that looks for a mistyped key.
        configuration = make_configuration(b="key-b")
        for former, refusal in (
            ("a", _Refusal.REVOKED_KEY),
            ("", _Refusal.UNKNOWN_KEY),
        ):
            result = identification.identify_again(
                configuration, False, "key-a", former
            )
            self.assertEqual(("", refusal), result)

    def test_digest_is_short_stable_and_without_the_key(self) -> None:
        # Guards against hosts that name one key differently.
        self.assertEqual("56d18e78", identification.describe_key("key-a"))
        self.assertEqual("", identification.describe_key(""))
        self.assertEqual(8, len(identification.describe_key("\ud800")))


class TeamRecordTest(testtools.TestCase):
    """Malformed teams don't open a deployment."""

    def parse(self, *tenants: object) -> model.Configuration:
        spec = {"version": 1, "routes": [], "backends": [], "tenants": tenants}
        return records.parse_configuration(spec)

    def test_teams_of_which_none_is_valid_are_refused(self) -> None:
        # Without teams every caller would be served.
        self.assertRaises(records.InvalidRecord, self.parse, {"name": "a b"})
        self.assertRaises(records.InvalidRecord, self.parse, None)

    def test_text_in_place_of_keys_gives_no_keys(self) -> None:
        # Each character would be a key.
        configuration = self.parse(
            {"name": "a", "apiKeys": "xyz"}, {"name": "b", "apiKeys": ["k", ""]}
        )
        self.assertEqual({"k": "b"}, dict(configuration.key_teams))
