"""Tests of the adapter for the platform."""
