"""Histories of concurrent runs, and the checks of their guarantees."""
