"""Tests of knapweedtally.report."""
