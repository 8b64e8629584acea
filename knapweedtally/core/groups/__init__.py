"""Decisions about groups of targets that an entry host takes on its own."""
