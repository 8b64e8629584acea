"""Tests that builds before and after a change work together."""
