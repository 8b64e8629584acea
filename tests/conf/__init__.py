"""Tests of conf."""
