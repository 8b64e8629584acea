"""Choice of the target of a request."""
