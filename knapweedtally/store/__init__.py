"""Adapter for the platform's object API."""
