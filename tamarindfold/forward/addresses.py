"""Whose word is believed, and what a chain of proxies says of the client. No I/O."""

from __future__ import annotations

import re
from collections.abc import Sequence

from tamarindfold.ds.prefixes import PrefixTrie, parse_address
from tamarindfold.http1.requests import Headers, Rejected

MOST_HOPS = 32
_NODE = re.compile(r'(?:"\[([0-9A-Fa-f:.]+)\](?::[0-9]{1,5})?"|"?([0-9.]+)(?::[0-9]{1,5})?"?)')


class Trust:
    """The networks of the proxies."""

    def __init__(self, networks: Sequence[str]) -> None:
        """ValueError names a network that is none."""
        self.networks: PrefixTrie[bool] = PrefixTrie()
        for network in networks:
            self.networks.add(network, True)

    def __contains__(self, text: str) -> bool:
        try:
            return self.networks.find(parse_address(text)) is not None
        except ValueError:
            return False

    def client(self, peer: str, headers: Headers) -> str:
        """The client's address: the chain walked from the right, past every proxy that is trusted.

        The first that is not trusted is the client: what stands left of it is its own invention.
        Rejected(400) where what a trusted proxy wrote is no chain of addresses.
        """
        chain = self._chain(headers)
        found = peer
        for hop in reversed(chain):
            if found not in self:
                break
            found = hop
        return found

    @staticmethod
    def _chain(headers: Headers) -> list[str]:
        forwarded = [value for name, value in headers if name == b"forwarded"]
        plain = [value for name, value in headers if name == b"x-forwarded-for"]
        if forwarded and plain:
            raise Rejected(400, "Forwarded and X-Forwarded-For both: which one the proxy wrote can't be told")
        text = b",".join(forwarded or plain).decode("latin-1")
        hops = [hop.strip() for hop in text.split(",") if hop.strip()]
        if len(hops) > MOST_HOPS:
            raise Rejected(400, f"over {MOST_HOPS} hops")
        return [_for(hop) if forwarded else _plain(hop) for hop in hops]


def _plain(hop: str) -> str:
    """An address as X-Forwarded-For has it, a port left off."""
    if hop.count(":") == 1:
        hop = hop.partition(":")[0]
    hop = hop.removeprefix("[").partition("]")[0]
    _checked(hop)
    return hop


def _for(element: str) -> str:
    """The `for` of a forwarded-element (RFC 7239 section 4); a hidden one ends the chain as 0.0.0.0."""
    for pair in element.split(";"):
        name, _, value = pair.strip().partition("=")
        if name.lower() == "for":
            if value.strip('"').lower() == "unknown" or value.strip('"').startswith("_"):
                return "0.0.0.0"
            found = _NODE.fullmatch(value)
            if found is None:
                raise Rejected(400, "Forwarded: a node that is no address")
            node = found[1] or found[2]
            _checked(node)
            return node
    raise Rejected(400, "Forwarded: an element without for")


def _checked(text: str) -> None:
    try:
        parse_address(text)
    except ValueError as error:
        raise Rejected(400, str(error)) from None
