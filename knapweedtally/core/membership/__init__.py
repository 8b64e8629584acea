"""Liveness of peers and the spread of versioned registers."""
