"""What the proxy measures of itself, by OpenTelemetry."""
