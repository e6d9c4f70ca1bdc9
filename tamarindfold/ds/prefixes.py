"""Longest-prefix match over IP networks: a path-compressed binary trie over 128-bit addresses.

IPv4 networks are stored as IPv4-mapped IPv6 ones (::ffff:0:0/96), so that a mapped address matches them with
a single lookup.
"""

from __future__ import annotations

from ipaddress import ip_network
from socket import AF_INET, AF_INET6, inet_pton
from typing import Generic, TypeVar

V = TypeVar("V")
BITS = 128
IPV4_MAPPED = 0xFFFF << 32


class _Node(Generic[V]):
    __slots__ = ("bits", "length", "one", "value", "zero")

    def __init__(self, bits: int, length: int) -> None:
        # the prefix is the first `length` bits of `bits`, from the left
        self.bits, self.length = bits, length
        self.value: V | None = None
        self.zero: _Node[V] | None = None
        self.one: _Node[V] | None = None


def parse_address(text: str) -> int:
    """An IPv4 or IPv6 address as 128 bits; ValueError if it is neither."""
    try:
        if ":" in text:
            return int.from_bytes(inet_pton(AF_INET6, text), "big")
        return IPV4_MAPPED | int.from_bytes(inet_pton(AF_INET, text), "big")
    except (OSError, UnicodeEncodeError):
        raise ValueError(f"{text[:50]!r} is not an IP address") from None


def _common_prefix_length(a: int, b: int, max_length: int) -> int:
    return min(max_length, BITS - (a ^ b).bit_length())


class PrefixTrie(Generic[V]):
    """Values by network."""

    def __init__(self) -> None:
        self.root: _Node[V] = _Node(0, 0)
        self.count = 0

    def add(self, network: str, value: V) -> None:
        """Set the value of a network; ValueError if the text is not a network or has host bits set."""
        parsed = ip_network(network)
        shift = 0 if parsed.version == 6 else BITS - 32
        bits = int(parsed.network_address) | (0 if parsed.version == 6 else IPV4_MAPPED)
        length = parsed.prefixlen + shift
        node = self.root
        while node.length < length:
            bit = bits >> (BITS - 1 - node.length) & 1
            child = node.one if bit else node.zero
            if child is None:
                child = _Node(bits, length)
                self._set_child(node, bit, child)
            elif (
                common := _common_prefix_length(bits, child.bits, min(length, child.length))
            ) < child.length:
                middle: _Node[V] = _Node(bits, common)  # split the edge where the two prefixes diverge
                self._set_child(node, bit, middle)
                self._set_child(middle, child.bits >> (BITS - 1 - common) & 1, child)
                child = middle
            node = child
        self.count += node.value is None
        node.value = value

    @staticmethod
    def _set_child(node: _Node[V], bit: int, child: _Node[V]) -> None:
        if bit:
            node.one = child
        else:
            node.zero = child

    def find(self, bits: int) -> V | None:
        """The value of the longest network that contains an address (see `parse_address`), or None."""
        best, node = self.root.value, self.root
        while True:
            child = node.one if node.length < BITS and bits >> (BITS - 1 - node.length) & 1 else node.zero
            if child is None or (bits ^ child.bits) >> (BITS - child.length):
                return best
            if child.value is not None:
                best = child.value
            if child.length == BITS:
                return best
            node = child
