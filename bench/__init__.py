"""Load tool, experiments and measurements of capacity."""
