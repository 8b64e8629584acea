"""Tests of report."""
