"""Tests of the entry host on the platform."""
