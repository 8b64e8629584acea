"""Stand-in for a replicated database instance with terms and a log."""
