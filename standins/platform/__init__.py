"""Stand-in for the platform: objects, watches, hosts and faults."""
