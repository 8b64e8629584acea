"""Outcomes of requests: done, not run, unknown."""
