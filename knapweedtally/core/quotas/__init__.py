"""Quotas: how all hosts together keep the limits of teams."""
