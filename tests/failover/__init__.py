"""Tests of the failover part."""
