"""Who leads each group, which targets are its members, and its changes.

Answers of targets and evidence of other hosts come in; evidence, commits that
may be told, and promotions go out. It never sees a caller.
"""
