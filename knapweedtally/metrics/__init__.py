"""Metrics of the proxy, recorded with OpenTelemetry."""
