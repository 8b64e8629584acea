"""Hypothesis strategies for bundles."""

from hypothesis import strategies as st

from knapweedtally.core import model

NAMES = st.text("abcdefgh-", min_size=1, max_size=6)
NUMBERS = st.integers(1, 500)


@st.composite
def bundles(draw: st.DrawFn) -> model.Bundle:
    """Draw a valid bundle; its digest is left empty."""
    names = draw(st.lists(NAMES, unique=True, max_size=3))
    groups = {}
    for index, name in enumerate(names):
        targets = tuple(
            model.Target(f"{name}.{n}", f"127.0.{index}.{n}", 5432, "dc")
            for n in range(draw(st.integers(1, 3)))
        )
        rule = st.builds(
            model.ReadRule, st.frozensets(NAMES, min_size=1), NUMBERS
        )
        groups[name] = model.Group(
            name,
            targets,
            connection_limit=draw(NUMBERS),
            slots=draw(NUMBERS),
            max_age_ms=draw(NUMBERS),
            read_rules=tuple(draw(st.lists(rule, max_size=2))),
            leaving=frozenset(target.id for target in targets[1:]),
            request_timeout_ms=draw(NUMBERS),
            replica_wait_ms=draw(NUMBERS),
        )
    return model.Bundle(draw(NUMBERS), "", groups, draw(NAMES))
