"""Tests of knapweedtally.metrics."""
