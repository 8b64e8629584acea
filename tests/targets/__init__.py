"""Tests of the targets edge."""
