"""Tests that each guarantee holds with its rule and fails without it."""
