"""Stand-in for a database instance with terms and log positions."""
