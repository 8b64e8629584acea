"""Records that explain the decisions of the core."""
