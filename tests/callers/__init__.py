"""Tests of the adapter for callers."""
