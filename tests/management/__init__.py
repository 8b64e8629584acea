"""Tests of management."""
