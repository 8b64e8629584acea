"""Event loop of a proxy: passes events to the reducer and runs its effects."""
