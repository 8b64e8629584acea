"""Histories of runs with separate processes that are killed and frozen."""
