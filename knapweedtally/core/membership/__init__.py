"""Peer failure detection and gossip of versioned registers."""
