"""The users' platform: store, line-protocol targets and the promote call."""
