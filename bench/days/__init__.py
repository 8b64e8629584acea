"""Comparison of builds on days of the users' bench."""
