"""Failures of real processes, with the history of their callers checked."""
