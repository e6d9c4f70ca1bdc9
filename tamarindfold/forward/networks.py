"""Configured rules for clients' networks: refuse their requests, or assign a zone. No I/O."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from tamarindfold.ds.prefixes import PrefixTrie, parse_address


@dataclass(frozen=True, slots=True)
class NetworkRule:
    """The rule for one network. Only the longest matching prefix applies to an address."""

    refuse: bool = False
    zone: int | None = None


class NetworkRules:
    """Rules by network."""

    def __init__(self, rules: Iterable[tuple[str, NetworkRule]]) -> None:
        """Raises ValueError, naming the network, if one is not valid CIDR."""
        self.rules: PrefixTrie[NetworkRule] = PrefixTrie()
        for network, rule in rules:
            self.rules.add(network, rule)

    def find(self, text: str) -> NetworkRule | None:
        """The rule for a client's address; None if no network matches or the address is invalid."""
        try:
            return self.rules.find(parse_address(text)) if self.rules.count else None
        except ValueError:
            return None
