"""Events of the bundles part; it handles only shared ones."""
