"""Load tool, experiments and capacity slopes."""
