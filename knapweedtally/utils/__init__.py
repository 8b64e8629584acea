"""Helpers that know nothing of the product."""
