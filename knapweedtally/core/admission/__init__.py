"""Bounded queues, connection shares and fair scheduling."""
