"""Events of the bundles part; none, as it handles only shared events."""
