"""Outcomes of attempts: done, not run or unknown."""
