"""Choose the target of a read."""
