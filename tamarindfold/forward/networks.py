"""What the configuration says of clients' networks: refused, or in a zone. No I/O."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from tamarindfold.ds.prefixes import PrefixTrie, parse_address


@dataclass(frozen=True, slots=True)
class Rule:
    """Of one network; the longest that holds an address counts alone."""

    refuse: bool = False
    zone: int | None = None


class Networks:
    """Rules by network."""

    def __init__(self, rules: Iterable[tuple[str, Rule]]) -> None:
        """ValueError names a network that is none."""
        self.rules: PrefixTrie[Rule] = PrefixTrie()
        for network, rule in rules:
            self.rules.add(network, rule)

    def find(self, text: str) -> Rule | None:
        """The rule for a client's address; None where there is none, or the address is none."""
        try:
            return self.rules.find(parse_address(text)) if self.rules.count else None
        except ValueError:
            return None
