"""The edge towards callers: PostgreSQL wire protocol, server side."""
