"""Bounded queues, connection limits per host and fair scheduling."""
