"""Tests of the edge for callers."""
