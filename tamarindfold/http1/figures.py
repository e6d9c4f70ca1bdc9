"""Figures in a header: name=number pairs, separated by commas."""

from __future__ import annotations

import math
from collections.abc import Iterable


def figures(value: bytes | None, names: Iterable[str]) -> tuple[float, ...]:
    """The figures of these names, in their order; none where one is missing or is no finite number."""
    if value is None:
        return ()
    pairs = dict(part.strip().partition(b"=")[::2] for part in value.split(b","))
    try:
        found = tuple(float(pairs[name.encode()]) for name in names)
    except (KeyError, ValueError):
        return ()
    return found if all(map(math.isfinite, found)) else ()
