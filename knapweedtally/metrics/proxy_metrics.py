"""Metrics and windowed service-level totals of one proxy."""

import time
from typing import Any

import anyio
import anyio.abc
from opentelemetry.sdk import metrics as sdk
from opentelemetry.sdk.metrics import export

from knapweedtally.core import state as state_module
from knapweedtally.metrics import instruments
from knapweedtally.metrics import prometheus
from knapweedtally.metrics import requests
from knapweedtally.metrics import windows

SCOPE = "knapweedtally"


class ProxyMetrics:
    """Instruments of one proxy and the history of its service-level totals.

    Attributes:
        requests: records completed requests.
    """

    def __init__(self, state: state_module.ProxyState) -> None:
        """Create the instruments.

        Args:
            state: state of the proxy; it is only read.
        """
        self._state = state
        self._reader = export.InMemoryMetricReader()
        provider = sdk.MeterProvider([self._reader], shutdown_on_exit=False)
        meter = provider.get_meter(SCOPE)
        self.requests = requests.RequestMeter(meter, state)
        sources = instruments.Sources(state, self.requests)
        instruments.create_instruments(meter, sources)
        self._history = windows.History(time.monotonic())

    async def record_snapshots(
        self,
        *,
        task_status: anyio.abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Record snapshots of the totals periodically until cancelled."""
        task_status.started()
        while True:
            await anyio.sleep(windows.SNAPSHOT_INTERVAL_S)
            self._history.record_snapshot(*self._read_totals())

    def read_metrics(self) -> export.MetricsData | None:
        """Collect the current values of all metrics."""
        return self._reader.get_metrics_data()

    def format_prometheus(self) -> str:
        """Return all metrics in the Prometheus text format."""
        return prometheus.format_metrics(self.read_metrics())

    def get_window_sums(self, has_steps: bool) -> list[dict[str, Any]]:
        """Return the sums over each window for the status of the host.

        Args:
            has_steps: whether to include the sums of each step.
        """
        now, group_count, totals = self._read_totals()
        entries = []
        for window in windows.WINDOWS:
            span = self._history.sum_window(window, now, group_count, totals)
            values = {
                "name": window.name,
                "step_s": window.step_s,
                **_format_span(span),
            }
            if has_steps:
                steps = self._history.list_steps(
                    window, now, group_count, totals
                )
                values["steps"] = [
                    {
                        "ago_s": round(now - step.ended_at, 1),
                        **_format_span(step),
                    }
                    for step in steps
                ]
            entries.append(values)
        return entries

    def _read_totals(self) -> tuple[float, int, requests.Totals]:
        bundle = self._state.directory.bundle
        group_count = len(bundle.groups) if bundle else 0
        return time.monotonic(), group_count, self.requests.sum_totals()


def _format_span(span: windows.Span) -> dict[str, Any]:
    return {
        "seconds": round(span.seconds, 1),
        "group_s": round(span.group_s, 1),
        **span.totals._asdict(),
        "blocked_s": round(span.totals.blocked_s, 3),
    }
