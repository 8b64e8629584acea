"""Settings from flags and environment, and the checks on them."""
