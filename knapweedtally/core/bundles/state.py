"""State of the bundles part."""

import collections
import dataclasses
from typing import Any

MAX_REMEMBERED_REFUSALS = 64


@dataclasses.dataclass(slots=True)
class BundlesState:
    """The bundle in force in plain form, and the refused bundles.

    Attributes:
        keys: operators' public keys by name.
        value: plain form of the bundle in force, with its signature; empty
            before the first one.
        refused: versions and digests of refused bundles, least recently seen
            first; a repeated refusal is not reported again.
    """

    keys: dict[str, bytes] = dataclasses.field(default_factory=dict)
    value: dict[str, Any] = dataclasses.field(default_factory=dict)
    refused: collections.OrderedDict[tuple[int, str], None] = dataclasses.field(
        default_factory=collections.OrderedDict
    )
