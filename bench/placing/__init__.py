"""Compare ways to share a crowded target, without sockets."""
