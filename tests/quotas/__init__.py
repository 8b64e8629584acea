"""Tests of quotas over all hosts."""
