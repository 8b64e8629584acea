"""Tests of the admission of requests."""
