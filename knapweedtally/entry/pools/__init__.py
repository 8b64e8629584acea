"""Connections to targets, of this host and through holders.

Statements of requests and control statements come in with the time that they
have; their outcomes go out. It never chooses the target of a statement, and
never judges what an answer means.
"""
