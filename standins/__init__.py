"""Stand-ins for external systems, used only by tests and the demo."""
