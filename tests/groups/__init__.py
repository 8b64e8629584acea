"""Tests of the decisions about groups."""
