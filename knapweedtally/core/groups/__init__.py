"""Decisions about groups of targets that an entry host makes by itself."""
