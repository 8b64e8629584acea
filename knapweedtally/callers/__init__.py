"""The adapter for callers: server side of the PostgreSQL wire protocol."""
