"""General-purpose helpers that don't depend on the rest of the package."""
