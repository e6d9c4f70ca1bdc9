"""Parses header values of name=number pairs separated by commas, as in load reports."""

from __future__ import annotations

import math
from collections.abc import Iterable


def parse_number_pairs(value: bytes | None, names: Iterable[str]) -> tuple[float, ...]:
    """The numbers of these names, in their order; empty if one is missing or is not a finite number."""
    if value is None:
        return ()
    pairs = dict(part.strip().partition(b"=")[::2] for part in value.split(b","))
    try:
        numbers = tuple(float(pairs[name.encode()]) for name in names)
    except (KeyError, ValueError):
        return ()
    return numbers if all(map(math.isfinite, numbers)) else ()
