"""Admission of operations within the limits of teams.

Operations and other hosts' questions come in; permits, refusals and answers go
out. It never sends anything to a target.
"""
