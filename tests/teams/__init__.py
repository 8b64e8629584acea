"""Tests of teams: identification and exchange of versions."""
