"""The edge towards targets: PostgreSQL wire protocol, client side."""
