"""Put the measures of one proxy together."""

from opentelemetry.sdk import metrics as sdk
from opentelemetry.sdk.metrics import export

from knapweedtally.core import state as state_module
from knapweedtally.metrics import instruments
from knapweedtally.metrics import prometheus
from knapweedtally.metrics import requests

SCOPE = "knapweedtally"


class Measures:
    """Hold the instruments of one proxy and read them.

    Attributes:
        requests: takes in requests that ended.
    """

    def __init__(self, state: state_module.ProxyState) -> None:
        """Create the instruments.

        Args:
            state: state of the proxy, only read.
        """
        self._reader = export.InMemoryMetricReader()
        provider = sdk.MeterProvider([self._reader], shutdown_on_exit=False)
        meter = provider.get_meter(SCOPE)
        self.requests = requests.RequestMeter(meter, state)
        sources = instruments.Sources(state, self.requests)
        instruments.create_instruments(meter, sources)

    def read_metrics(self) -> export.MetricsData | None:
        """Return all metrics as they stand now."""
        return self._reader.get_metrics_data()

    def write_page(self) -> str:
        """Return all metrics in the Prometheus text format."""
        return prometheus.write_metrics(self.read_metrics())
