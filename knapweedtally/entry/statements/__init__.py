"""The way of a caller's statement, from its session to the answer.

Lines of callers come in; answers with the target's signature, or refusals, go
out. It never decides who leads a group, and opens no connection itself: it asks
the pools.
"""
