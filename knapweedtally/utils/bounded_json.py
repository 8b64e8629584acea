"""Decoding of JSON in which single values may be odd.

Very deep nesting and very long numbers are legal JSON that the decoder of the
standard library refuses, with all that stands beside them.
"""

import json
import re
from typing import Any

# Nesting beyond which a value is replaced by null. What the store and other
# hosts send nests less than ten levels.
MAX_DEPTH = 64

# Length in characters beyond which a number is replaced by null.
MAX_NUMBER_LENGTH = 400

_TOKEN = re.compile(r'"(?:[^"\\]|\\.)*"|[\[{]+|[\]}]+|[^\s"\[\]{},:]+', re.S)


def decode(data: bytes) -> Any:
    """Return the decoded value, with null in place of what is too large.

    Raises:
        ValueError: the data is not JSON.
    """
    try:
        return json.loads(data)
    except (RecursionError, ValueError):
        text = data.decode("utf-8", "replace")
        return json.loads(replace_oversized(text))


def replace_oversized(text: str) -> str:
    """Return JSON text with null for deep containers and long numbers."""
    kept: list[str] = []
    depth = copied_to = 0
    for match in _TOKEN.finditer(text):
        token, start = match[0], match.start()
        if token[0] in "[{":
            depth += len(token)
            if depth - len(token) <= MAX_DEPTH < depth:
                end = match.end() - (depth - MAX_DEPTH)
                kept.append(text[copied_to:end] + "null")
        elif token[0] in "]}":
            depth -= len(token)
            if depth <= MAX_DEPTH < depth + len(token):
                copied_to = start + depth + len(token) - MAX_DEPTH
        elif (
            token[0] != '"'
            and len(token) > MAX_NUMBER_LENGTH
            and depth <= MAX_DEPTH
        ):
            kept.append(text[copied_to:start] + "null")
            copied_to = match.end()
    return "".join(kept) + text[copied_to:]
