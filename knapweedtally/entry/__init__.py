"""The process of an entry host on the platform."""
