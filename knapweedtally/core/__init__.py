"""The decisions: pure, without clock, socket or random number."""
