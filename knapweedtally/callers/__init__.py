"""The edge for callers: server side of the PostgreSQL wire protocol."""
