"""Stand-in for the users' platform: store, targets and promotion API."""
