"""Planned stops of targets and of this proxy."""
