"""Detect a failed primary and promote a replica."""
