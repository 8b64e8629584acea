"""Tests of the adapter for targets."""
