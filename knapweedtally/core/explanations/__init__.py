"""Records of decisions and the answers to why."""
