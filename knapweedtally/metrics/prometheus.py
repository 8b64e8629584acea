"""Write the SDK's metrics in the Prometheus text format, version 0.0.4.

The names follow OpenTelemetry's compatibility rules for Prometheus: dots
become underscores, seconds and a counter's ``total`` become suffixes.
"""

import re
from collections.abc import Iterable
from collections.abc import Mapping
from typing import Any

from opentelemetry.sdk.metrics import export

CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
_UNIT_SUFFIXES = {"s": "_seconds"}


def write_metrics(data: export.MetricsData | None) -> str:
    """Return the page of all metrics; empty when there are none."""
    lines: list[str] = []
    for resource in data.resource_metrics if data else ():
        for scope in resource.scope_metrics:
            for metric in scope.metrics:
                lines += write_metric(metric)
    return "".join(f"{line}\n" for line in lines)


def write_metric(metric: export.Metric) -> list[str]:
    """Return the lines of one metric."""
    name = make_name(metric)
    kind, write = _FORMS[_find_form(metric)]
    lines = [
        f"# HELP {name} {escape_help(metric.description or '')}",
        f"# TYPE {name} {kind}",
    ]
    for point in metric.data.data_points:
        lines += write(name, point)
    return lines


def make_name(metric: export.Metric) -> str:
    """Return the Prometheus name of a metric."""
    name = re.sub(r"[^a-zA-Z0-9_:]", "_", metric.name)
    name += _UNIT_SUFFIXES.get(metric.unit or "", "")
    return f"{name}_total" if _find_form(metric) == "counter" else name


def escape_help(text: str) -> str:
    r"""Escape a help text: ``\`` and line feeds."""
    return text.replace("\\", r"\\").replace("\n", r"\n")


def escape_value(text: str) -> str:
    r"""Escape a label's value: ``\``, line feeds and double quotes."""
    return escape_help(text).replace('"', r"\"")


def format_labels(labels: Mapping[str, Any]) -> str:
    """Return labels in braces, or an empty string without any."""
    if not labels:
        return ""
    pairs = ",".join(
        f'{name}="{escape_value(str(value))}"' for name, value in labels.items()
    )
    return f"{{{pairs}}}"


def _find_form(metric: export.Metric) -> str:
    data = metric.data
    if isinstance(data, export.Histogram):
        return "histogram"
    if isinstance(data, export.Sum) and data.is_monotonic:
        return "counter"
    return "gauge"


def _write_number(name: str, point: Any) -> Iterable[str]:
    yield f"{name}{format_labels(point.attributes)} {point.value}"


def _write_histogram(name: str, point: Any) -> Iterable[str]:
    labels = dict(point.attributes)
    bounds = [*(str(float(b)) for b in point.explicit_bounds), "+Inf"]
    count = 0
    for bound, in_bucket in zip(bounds, point.bucket_counts, strict=True):
        count += in_bucket
        shown = format_labels({**labels, "le": bound})
        yield f"{name}_bucket{shown} {count}"
    yield f"{name}_sum{format_labels(labels)} {point.sum}"
    yield f"{name}_count{format_labels(labels)} {point.count}"


_FORMS = {
    "counter": ("counter", _write_number),
    "gauge": ("gauge", _write_number),
    "histogram": ("histogram", _write_histogram),
}
