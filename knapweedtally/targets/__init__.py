"""Adapter for targets: client side of the PostgreSQL wire protocol."""
