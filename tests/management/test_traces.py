"""Tests of tracing one request through the logs of several hosts."""

import json

import testtools

from knapweedtally.management import traces


def make_line(time: float, event: str, **fields: object) -> str:
    return json.dumps({"time": time, "host": "h1", "event": event, **fields})


TEXTS = [
    make_line(90.0, "primary_lost", group="g", target="i-1"),
    make_line(97.0, "primary_lost", group="g", target="i-1"),
    make_line(97.5, "primary_lost", group="other", target="i-9"),
    make_line(98.0, "dependency_lost", dependency="store"),
    " 5.2 h2 " + make_line(98.2, "change_started", group="g", host="h2"),
    "Traceback (most recent call last):",
    make_line(98.5, "dependency_lost", dependency="store", host="h3"),
    make_line(
        100.0,
        "statement_ended",
        id="5c0e",
        group="g",
        outcome="BUSY",
        total_ms=800,
    ),
    make_line(100.1, "statement_ended", id="77", group="g", outcome="DONE"),
    make_line(100.2, "pace_changed", target="i-1", limit=1),
    make_line(100.4, "primary_known", group="g", target="i-2"),
    '{"time": 100.5, "host": "h1", "ev',
]


class TraceTest(testtools.TestCase):
    """Tests that the lines related to a request are found and formatted."""

    def find_lines(self, request: str) -> list[tuple[float, str]]:
        related = traces.find_related_lines(
            traces.parse_log_lines(TEXTS), request
        )
        return [(line["time"], line["event"]) for line in related]

    def test_includes_events_of_group_and_host(self) -> None:
        expected = [
            (97.0, "primary_lost"),
            (98.0, "dependency_lost"),
            (98.2, "change_started"),
            (100.0, "statement_ended"),
            (100.2, "pace_changed"),
            (100.4, "primary_known"),
        ]
        self.assertEqual(self.find_lines("5c0e"), expected)

    def test_includes_errors_and_the_exit_of_the_host(self) -> None:
        texts = [
            make_line(98.0, "handler_failed", handler="session"),
            make_line(98.0, "handler_failed", handler="pool", host="h3"),
            make_line(99.0, "exit_not_requested", task="checks"),
            make_line(100.0, "statement_ended", id="5c0e", group="g"),
        ]
        related = traces.find_related_lines(
            traces.parse_log_lines(texts), "5c0e"
        )
        self.assertEqual(
            ["handler_failed", "exit_not_requested", "statement_ended"],
            [line["event"] for line in related],
        )

    def test_unknown_request_has_no_lines(self) -> None:
        self.assertEqual(self.find_lines("nothing"), [])

    def test_line_is_formatted_as_text(self) -> None:
        (line,) = traces.parse_log_lines([TEXTS[1]])
        self.assertEqual(
            traces.format_log_line(line),
            "97.000 h1 primary_lost group=g target=i-1",
        )
