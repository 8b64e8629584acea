"""Configuration bundles: only upwards in version."""
