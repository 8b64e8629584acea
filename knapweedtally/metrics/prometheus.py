"""Format OpenTelemetry metrics in the Prometheus text format, version 0.0.4.

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


def format_metrics(data: export.MetricsData | None) -> str:
    """Return all metrics as text, or an empty string if there are none."""
    lines: list[str] = []
    for resource in data.resource_metrics if data else ():
        for scope in resource.scope_metrics:
            for metric in scope.metrics:
                lines += format_metric(metric)
    return "".join(f"{line}\n" for line in lines)


def format_metric(metric: export.Metric) -> list[str]:
    """Return the lines of one metric, HELP and TYPE lines included."""
    name = make_name(metric)
    type_name, format_point = _FORMATTERS[_get_type(metric)]
    lines = [
        f"# HELP {name} {escape_help(metric.description or '')}",
        f"# TYPE {name} {type_name}",
    ]
    for point in metric.data.data_points:
        lines += format_point(name, point)
    return lines


def make_name(metric: export.Metric) -> str:
    """Return the Prometheus name of a metric."""
    name = re.sub(r"[^a-zA-Z0-9_:]", "_", metric.name)
    name += _UNIT_SUFFIXES.get(metric.unit or "", "")
    return f"{name}_total" if _get_type(metric) == "counter" else name


def escape_help(text: str) -> str:
    r"""Escape ``\`` and line feeds in a help text."""
    return text.replace("\\", r"\\").replace("\n", r"\n")


def escape_value(text: str) -> str:
    r"""Escape ``\``, line feeds and double quotes in a label value."""
    return escape_help(text).replace('"', r"\"")


def format_labels(labels: Mapping[str, Any]) -> str:
    """Return the labels in braces, or an empty string if there are none."""
    if not labels:
        return ""
    pairs = ",".join(
        f'{name}="{escape_value(str(value))}"' for name, value in labels.items()
    )
    return f"{{{pairs}}}"


def _get_type(metric: export.Metric) -> str:
    data = metric.data
    if isinstance(data, export.Histogram):
        return "histogram"
    if isinstance(data, export.Sum) and data.is_monotonic:
        return "counter"
    return "gauge"


def _format_number(name: str, point: Any) -> Iterable[str]:
    yield f"{name}{format_labels(point.attributes)} {point.value}"


def _format_histogram(name: str, point: Any) -> Iterable[str]:
    labels = dict(point.attributes)
    bounds = [*(str(float(b)) for b in point.explicit_bounds), "+Inf"]
    cumulative_count = 0
    for bound, bucket_count in zip(bounds, point.bucket_counts, strict=True):
        cumulative_count += bucket_count
        bucket_labels = format_labels({**labels, "le": bound})
        yield f"{name}_bucket{bucket_labels} {cumulative_count}"
    yield f"{name}_sum{format_labels(labels)} {point.sum}"
    yield f"{name}_count{format_labels(labels)} {point.count}"


_FORMATTERS = {
    "counter": ("counter", _format_number),
    "gauge": ("gauge", _format_number),
    "histogram": ("histogram", _format_histogram),
}
