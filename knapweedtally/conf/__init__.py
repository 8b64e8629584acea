"""Settings from command options and the environment, and their checks."""
