"""Tests and property tests of the configuration, entries and settings."""

import copy
from typing import Any

import hypothesis
import testtools
from hypothesis import strategies

from knapweedtally.core.groups import model
from knapweedtally.platform import records
from knapweedtally.platform import settings
from knapweedtally.platform import store_calls

ENTRY: dict[str, Any] = {
    "backend": "g",
    "addr": "10.128.0.9:8080",
    "zone": "dc",
    "version": "v1",
    "slots": 2,
    "state": "ready",
    "coldLeftMs": 0,
    "dbRole": "replica",
    "seq": 4,
    "born": 1700000000000,
}
CONFIGURATION: dict[str, Any] = {
    "version": 7,
    "routes": [
        {
            "name": "r-1",
            "host": "db",
            "type": "read_your_writes",
            "timeoutMs": 800,
            "targetLatencyMs": 200,
            "priority": 2,
            "backend": "g",
            "maxStalenessMs": 2500,
        }
    ],
    "backends": [{"name": "g", "maxConns": 16, "syncReplicas": 1}],
    "limits": {"txIdleMs": 3000},
}
JSON_VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats(allow_nan=False)
    | strategies.text(max_size=8),
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(strategies.text(max_size=8), inner)
    ),
    max_leaves=6,
)


class EntryTest(testtools.TestCase):
    """Targets' entries, including malformed ones."""

    def test_entry(self) -> None:
        entry = records.parse_target("i-1", 9, ENTRY)
        expected = model.TargetEntry(
            "i-1",
            9,
            "g",
            "10.128.0.9",
            8080,
            "dc",
            1700000000000,
            4,
            False,
            False,
            2,
        )
        self.assertEqual(entry, expected)

    def test_entry_without_start_time(self) -> None:
        spec = {key: ENTRY[key] for key in ENTRY if key != "born"}
        self.assertEqual(records.parse_target("i-1", 9, spec).started_ms, 0)

    def test_missing_field_is_rejected(self) -> None:
        for key in ENTRY:
            spec = {name: ENTRY[name] for name in ENTRY if name != key}
            if key == "born":
                continue
            with testtools.ExpectedException(records.InvalidRecord):
                records.parse_target("i-1", 9, spec)

    def test_unknown_state_is_rejected(self) -> None:
        for change in ({"state": "asleep"}, {"dbRole": "witness"}):
            with testtools.ExpectedException(records.InvalidRecord):
                records.parse_target("i-1", 9, ENTRY | change)

    def test_wrong_type_is_rejected(self) -> None:
        for change in (
            {"seq": "4"},
            {"addr": 7},
            {"slots": None},
            {"seq": True},
        ):
            with testtools.ExpectedException(records.InvalidRecord):
                records.parse_target("i-1", 9, ENTRY | change)

    @hypothesis.given(JSON_VALUES)
    def test_any_value_is_parsed_or_rejected(self, spec: Any) -> None:
        try:
            records.parse_target("i-1", 9, spec)
        except records.InvalidRecord:
            pass

    @hypothesis.given(strategies.sampled_from(sorted(ENTRY)), JSON_VALUES)
    def test_any_field_is_parsed_or_rejected(
        self, key: str, value: Any
    ) -> None:
        try:
            records.parse_target("i-1", 9, ENTRY | {key: value})
        except records.InvalidRecord:
            pass


class ConfigurationTest(testtools.TestCase):
    """The operator's configuration."""

    def test_configuration(self) -> None:
        configuration = records.parse_configuration(CONFIGURATION)
        route = configuration.routes["db"]
        self.assertEqual(route.consistency, model.Consistency.SESSION)
        self.assertEqual(route.max_age_s, 2.5)
        self.assertEqual(route.statement_timeout_s, 0.8)
        group = configuration.groups["g"]
        self.assertEqual(group, model.GroupSettings("g", 16, 1))
        self.assertEqual(configuration.transaction_idle_s, 3.0)

    def test_malformed_route_keeps_the_others(self) -> None:
        spec = copy.deepcopy(CONFIGURATION)
        spec["routes"].append({"host": "other", "type": "eventual"})
        configuration = records.parse_configuration(spec)
        self.assertEqual(list(configuration.routes), ["db"])

    @hypothesis.given(JSON_VALUES)
    def test_any_value_is_parsed_or_rejected(self, spec: Any) -> None:
        try:
            records.parse_configuration(spec)
        except records.InvalidRecord:
            pass


class TeamTest(testtools.TestCase):
    """Teams and keys of a configuration, including malformed ones."""

    def parse(self, tenants: Any) -> model.Configuration:
        return records.parse_configuration(
            {**CONFIGURATION, "tenants": tenants}
        )

    def test_team(self) -> None:
        spec = {
            "name": "t1",
            "apiKeys": ["k1", "k2"],
            "priority": 1,
            "ratePerS": 195,
            "burst": 50,
        }
        configuration = self.parse([spec])
        digests = [model.digest_key(key) for key in ("k1", "k2")]
        expected = model.Team("t1", frozenset(digests), 1, 195.0, 50.0)
        self.assertEqual({"t1": expected}, configuration.teams)
        self.assertEqual(dict.fromkeys(digests, "t1"), configuration.key_teams)

    def test_team_without_rate_has_no_limit(self) -> None:
        configuration = self.parse([{"name": "t1", "apiKeys": []}])
        self.assertEqual(float("inf"), configuration.teams["t1"].rate_per_s)

    def test_malformed_team_costs_only_itself(self) -> None:
        # One bad entry must not withdraw the keys of all other teams.
        good = {"name": "t1", "apiKeys": ["k1"]}
        for bad in (
            {},
            7,
            {"name": "a b"},
            {"name": "a\r\nBYE"},
            {"name": "-"},
            {"name": "\ud800"},
            {"name": "t2", "ratePerS": "x"},
            {"name": "t2", "priority": float("inf")},
        ):
            configuration = self.parse([bad, good])
            expected = {model.digest_key("k1"): "t1"}
            self.assertEqual(expected, configuration.key_teams)
            self.assertEqual(["t1"], list(configuration.teams))

    # Guards against keys on the way between hosts.
    def test_passed_on_configuration_has_no_key(self) -> None:
        teams = [
            {
                "name": "t1",
                "apiKeys": ["secret-1"],
                "burst": 3,
                "x": "secret-2",
            },
            {"name": "a b", "apiKeys": ["secret-3"]},
        ]
        spec = {**CONFIGURATION, "tenants": teams}
        passed_on = records.replace_keys(spec)
        self.assertNotIn("secret", repr(passed_on))
        self.assertEqual(
            records.parse_configuration(passed_on),
            records.parse_configuration(spec),
        )
        for other in (None, 3, [], {"tenants": "secret"}):
            records.replace_keys(other)

    def test_configuration_without_teams(self) -> None:
        configuration = records.parse_configuration(CONFIGURATION)
        self.assertEqual({}, configuration.teams)
        self.assertEqual({}, configuration.key_teams)


class SettingsTest(testtools.TestCase):
    """The settings file that the platform provides."""

    CONTENT: dict[str, Any] = {
        "node": "front-1",
        "zone": "dc",
        "ip": "10.1.0.8",
        "listen": {"front": "10.1.0.8:8784", "ready": "10.1.0.8:8785"},
        "internalPorts": [7440, 7455],
        "platform": {"addr": "10.200.1.7:8783"},
        "cloudApi": {"addr": "10.200.0.160:8783"},
        "bounds": {"graceS": 6, "drainMs": 7000},
        "somethingNew": [1],
    }

    def test_settings(self) -> None:
        found = settings.parse_settings(self.CONTENT)
        self.assertEqual(found.callers, settings.Address("10.1.0.8", 8784))
        self.assertEqual(found.peers, settings.Address("10.1.0.8", 7440))
        self.assertEqual(found.drain_s, 7.0)
        self.assertFalse(found.has_teams)
        content = {**self.CONTENT, "contracts": ["tenants"]}
        self.assertTrue(settings.parse_settings(content).has_teams)

    def test_missing_setting_is_rejected(self) -> None:
        for key in ("node", "zone", "listen", "platform"):
            content = {
                name: value
                for name, value in self.CONTENT.items()
                if name != key
            }
            with testtools.ExpectedException(settings.SettingsError):
                settings.parse_settings(content)

    @hypothesis.given(JSON_VALUES)
    def test_any_value_is_parsed_or_rejected(self, content: Any) -> None:
        try:
            settings.parse_settings(content)
        except settings.SettingsError:
            pass


class OddValueTest(testtools.TestCase):
    """One odd value in what another writer has written."""

    def test_odd_entry_in_a_list_or_watch_hides_no_other(self) -> None:
        deep = "[" * 100_000 + "]" * 100_000
        for odd in (deep, "9" * 5_000, "1e999"):
            objects = [
                f'{{"meta": {{"name": "i-{number}", "rev": 5}}, '
                f'"spec": {{"x": {odd if number == 1 else 1}}}}}'
                for number in range(3)
            ]
            events = [f'{{"object": {o}, "deleted": false}}' for o in objects]
            body = (
                f'{{"items": [{",".join(objects)}], "asOf": 9, '
                f'"events": [{",".join(events)}]}}'
            )
            response = store_calls.StoreAnswer(200, body.encode())
            listed = store_calls.parse_page(response).objects
            watched = store_calls.parse_changes(response).changes
            names = ["i-0", "i-1", "i-2"]
            self.assertEqual(names, [stored.name for stored in listed])
            self.assertEqual(names, [c.stored.name for c in watched])

    def test_entry_with_a_value_out_of_range_is_refused(self) -> None:
        for field, value in (
            ("addr", "10.128.0.9:65536"),
            ("addr", "10.128.0.9:0"),
            ("addr", "10.128.0.9:" + "9" * 5_000),
            ("addr", "name:8080"),
            ("slots", 0),
            ("slots", 10**400),
            ("seq", 10**400),
            ("born", -1),
            ("backend", "g\r\nQUERY"),
            ("zone", "d c"),
        ):
            self.assertRaises(
                records.InvalidRecord,
                records.parse_target,
                "i-1",
                1,
                {**ENTRY, field: value},
            )

    def test_odd_field_of_the_configuration_costs_only_its_part(self) -> None:
        route = {**CONFIGURATION["routes"][0], "host": "odd"}
        group = {**CONFIGURATION["backends"][0], "name": "odd"}
        for value in (float("inf"), float("nan"), 10**400, "x", [], -1):
            odd = copy.deepcopy(CONFIGURATION)
            odd["routes"].append({**route, "timeoutMs": value or [0]})
            odd["backends"].append({**group, "maxConns": value or [0]})
            odd["limits"]["txIdleMs"] = value
            parsed = records.parse_configuration(odd)
            self.assertEqual(["db"], list(parsed.routes))
            self.assertEqual(["g"], list(parsed.groups))
            self.assertEqual(0.0, parsed.transaction_idle_s)

    def test_version_that_would_hide_all_later_ones_is_refused(self) -> None:
        for version in (10**400, True, -1, 7.0, "7"):
            self.assertRaises(
                records.InvalidRecord,
                records.parse_configuration,
                {**CONFIGURATION, "version": version},
            )
