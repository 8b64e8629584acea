"""Tests of the instruments, the Prometheus text format and the write gaps."""

import pathlib
import re

import hypothesis
import testtools
from hypothesis import strategies
from opentelemetry.sdk.metrics import export

from knapweedtally.core import errors
from knapweedtally.core.admission import state as admission_state
from knapweedtally.metrics import gaps
from knapweedtally.metrics import prometheus
from knapweedtally.metrics import proxy_metrics as proxy_metrics_module
from knapweedtally.metrics import requests
from tests.admin import harness as harness_module

Kind = admission_state.RequestKind
ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
REFERENCE_PAGE = ROOT / "docs/reference/metrics.md"
SAMPLE_PATTERN = re.compile(r"(\w+)(?:\{(.*)\})? (\S+)")
LABEL_PATTERN = re.compile(r'(\w+)="((?:[^"\\]|\\.)*)"')


def make_metrics() -> proxy_metrics_module.ProxyMetrics:
    """Return metrics with at least one value in every instrument."""
    state = harness_module.make_state()
    metrics = proxy_metrics_module.ProxyMetrics(state)
    state.admission.leases_in_use["fog-1"] = 2
    state.admission.count("eligible reads by replica")
    queue_key = admission_state.QueueKey("fog", True)
    admission_queue = admission_state.queue.FairQueue()
    admission_queue.push("panel", 1)
    state.admission.queues[queue_key] = admission_queue
    for error, duration_s in (
        (None, 0.002),
        (errors.ErrorKind.NO_PRIMARY, 5.0),
        (None, 0.4),
    ):
        metrics.requests.record_request(
            requests.CompletedRequest(
                "fog", Kind.WRITE, False, error, 100, 100 + duration_s
            )
        )
    return metrics


def parse_page(page: str) -> dict[tuple[str, tuple[str, ...]], float]:
    """Parse the Prometheus text into samples by name and labels."""
    samples = {}
    for line in page.splitlines():
        if line.startswith("#"):
            continue
        match = SAMPLE_PATTERN.fullmatch(line)
        assert match, line
        pairs = LABEL_PATTERN.findall(match[2] or "")
        labels = tuple(sorted(f"{name}={value}" for name, value in pairs))
        samples[match[1], labels] = float(match[3])
    return samples


def list_metrics(
    metrics: proxy_metrics_module.ProxyMetrics,
) -> list[export.Metric]:
    """Return the metrics of all scopes."""
    data = metrics.read_metrics()
    assert data is not None
    return [
        metric
        for resource in data.resource_metrics
        for scope in resource.scope_metrics
        for metric in scope.metrics
    ]


def count_blocked_ticks(writes: list[tuple[int, int, bool]]) -> int:
    """Count the ticks covered by blocked writes, one tick at a time.

    A tick that an earlier write has covered is not counted again.
    """
    blocked: set[int] = set()
    covered_until = -1
    is_gap_open = False
    for arrived, ended, is_acknowledged in writes:
        ticks = {t for t in range(arrived, ended) if t >= covered_until}
        if not is_acknowledged or is_gap_open or len(ticks) > 1:
            blocked |= ticks
            is_gap_open = is_gap_open or bool(ticks)
        covered_until = max(covered_until, ended)
        if is_acknowledged:
            is_gap_open = False
    return len(blocked)


class PageTest(testtools.TestCase):
    def test_page_has_the_values_of_all_instruments(self) -> None:
        metrics = make_metrics()
        samples = parse_page(metrics.format_prometheus())
        count = 0
        for metric in list_metrics(metrics):
            name = prometheus.make_name(metric)
            for point in metric.data.data_points:
                labels = tuple(
                    sorted(f"{k}={v}" for k, v in point.attributes.items())
                )
                if isinstance(metric.data, export.Histogram):
                    self.assertEqual(
                        point.count, samples[f"{name}_count", labels]
                    )
                    self.assertEqual(point.sum, samples[f"{name}_sum", labels])
                    last_bucket = tuple(sorted([*labels, "le=+Inf"]))
                    self.assertEqual(
                        point.count, samples[f"{name}_bucket", last_bucket]
                    )
                    count += 2 + len(point.bucket_counts)
                else:
                    self.assertEqual(point.value, samples[name, labels])
                    count += 1
        self.assertEqual(count, len(samples))

    def test_reference_page_lists_every_metric(self) -> None:
        documented = re.findall(
            r"^\| `(\w+)` \| (\w+) \|", REFERENCE_PAGE.read_text(), re.M
        )
        exported = re.findall(
            r"^# TYPE (\w+) (\w+)$", make_metrics().format_prometheus(), re.M
        )
        self.assertEqual(sorted(documented), sorted(exported))

    def test_buckets_are_cumulative(self) -> None:
        samples = parse_page(make_metrics().format_prometheus())
        name = "knapweedtally_request_duration_seconds_bucket"
        counts = [
            samples[name, ("kind=write", f"le={bound}", "outcome=answered")]
            for bound in ("0.001", "0.0025", "0.5", "+Inf")
        ]
        self.assertEqual([0, 1, 2, 2], counts)

    @hypothesis.settings(derandomize=True, database=None, deadline=None)
    @hypothesis.given(strategies.text(alphabet='ab\\"\n{},= '))
    def test_label_values_survive_escaping(self, text: str) -> None:
        labels = prometheus.format_labels({"group": text})
        self.assertNotIn("\n", labels)
        ((name, value),) = LABEL_PATTERN.findall(labels)
        self.assertEqual(f'{{{name}="{value}"}}', labels)
        unescaped = re.sub(
            r"\\(.)", lambda m: {"n": "\n"}.get(m[1], m[1]), value
        )
        self.assertEqual(text, unescaped)

    def test_metrics_endpoint_requires_the_token(self) -> None:
        async def body(harness: harness_module.AdminApiHarness) -> None:
            refused = await harness.call("GET", "/metrics", token="")
            self.assertEqual(401, refused.status)
            answer = await harness.call("GET", "/metrics")
            self.assertEqual(200, answer.status)
            self.assertEqual(
                prometheus.CONTENT_TYPE, answer.headers["content-type"]
            )
            samples = parse_page(answer.body.decode())
            self.assertEqual(3, samples["knapweedtally_bundle_version", ()])

        harness_module.run_with_harness(body)


class RequestMeterTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.metrics = proxy_metrics_module.ProxyMetrics(
            harness_module.make_state()
        )

    def record(self, *values: object) -> None:
        self.metrics.requests.record_request(
            requests.CompletedRequest(*values)  # type: ignore[arg-type]
        )

    def test_only_blocked_writes_cause_a_gap(self) -> None:
        error = errors.ErrorKind
        self.record("fog", Kind.WRITE, False, None, 0.0, 0.08)
        self.record("fog", Kind.READ, False, error.DEADLINE, 0.0, 5.0)
        self.record("fog", Kind.WRITE, False, error.OVERLOADED, 0.0, 5.0)
        self.record("fog", Kind.COMMIT, True, error.DEADLINE, 0.0, 5.0)
        self.record("unknown", Kind.WRITE, False, error.NO_PRIMARY, 0.0, 5.0)
        self.record("fog", Kind.BEGIN, False, None, 0.0, 5.0)
        self.assertEqual(0.0, self.metrics.requests.sum_totals().blocked_s)
        self.record("fog", Kind.BEGIN, False, error.NO_PRIMARY, 6.0, 8.0)
        self.record("fog", Kind.WRITE, False, None, 7.0, 9.0)
        self.assertEqual(3.0, self.metrics.requests.sum_totals().blocked_s)
        samples = parse_page(self.metrics.format_prometheus())
        self.assertEqual(
            3.0,
            samples["knapweedtally_failover_gap_seconds_sum", ("group=fog",)],
        )

    def test_totals_count_each_request_once(self) -> None:
        self.record("fog", Kind.READ, False, None, 0.0, 0.1)
        self.record(
            "fog", Kind.WRITE, False, errors.ErrorKind.OUTCOME_UNKNOWN, 0, 1
        )
        totals = self.metrics.requests.sum_totals()
        self.assertEqual((2, 1), (totals.requests, totals.failed))


class GroupGapsTest(testtools.TestCase):
    @hypothesis.settings(derandomize=True, database=None, deadline=None)
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.integers(0, 30),
                strategies.integers(1, 10),
                strategies.booleans(),
            ),
            max_size=20,
        )
    )
    def test_blocked_time_equals_the_count_of_blocked_ticks(
        self, writes: list[tuple[int, int, bool]]
    ) -> None:
        # A tick is 1/16 s, so one tick is shorter than MIN_GAP_S and two are
        # longer.
        ordered = sorted(
            (
                (arrived, arrived + duration, is_acknowledged)
                for arrived, duration, is_acknowledged in writes
            ),
            key=lambda write: write[1],
        )
        group_gaps = gaps.GroupGaps()
        for arrived, ended, is_acknowledged in ordered:
            group_gaps.record_write(arrived / 16, ended / 16, is_acknowledged)
        self.assertEqual(
            count_blocked_ticks(ordered) / 16, group_gaps.blocked_s
        )
