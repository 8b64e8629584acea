"""Histories of concurrent runs and the checks of what they must keep."""
