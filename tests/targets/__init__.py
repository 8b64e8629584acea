"""Tests of the edge towards targets."""
