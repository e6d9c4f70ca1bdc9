"""Trusted proxies, and the client address in the chain of proxies that they report. No I/O."""

from __future__ import annotations

import re
from collections.abc import Sequence

from tamarindfold.ds.prefixes import PrefixTrie, parse_address
from tamarindfold.http1.requests import Headers, Rejected

MAX_HOPS = 32
_NODE = re.compile(r'(?:"\[([0-9A-Fa-f:.]+)\](?::[0-9]{1,5})?"|"?([0-9.]+)(?::[0-9]{1,5})?"?)')


class TrustedProxies:
    """The networks of the proxies whose headers are trusted."""

    def __init__(self, networks: Sequence[str]) -> None:
        """Raises ValueError, naming the network, if one is not valid CIDR."""
        self.networks: PrefixTrie[bool] = PrefixTrie()
        for network in networks:
            self.networks.add(network, True)

    def __contains__(self, text: str) -> bool:
        try:
            return self.networks.find(parse_address(text)) is not None
        except ValueError:
            return False

    def client_address(self, peer: str, headers: Headers) -> str:
        """The client's address: the last untrusted hop of the chain, searched from the right.

        Entries to the left of it come from the client and may be forged. Raises Rejected(400) if a trusted
        proxy's header is not a chain of addresses.
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
        x_forwarded_for = [value for name, value in headers if name == b"x-forwarded-for"]
        if forwarded and x_forwarded_for:
            raise Rejected(400, "Forwarded and X-Forwarded-For both: which one the proxy wrote can't be told")
        text = b",".join(forwarded or x_forwarded_for).decode("latin-1")
        hops = [hop.strip() for hop in text.split(",") if hop.strip()]
        if len(hops) > MAX_HOPS:
            raise Rejected(400, f"over {MAX_HOPS} hops")
        return [_parse_forwarded_element(hop) if forwarded else _parse_x_forwarded_for(hop) for hop in hops]


def _parse_x_forwarded_for(hop: str) -> str:
    """The address of an X-Forwarded-For entry, without a port."""
    if hop.count(":") == 1:
        hop = hop.partition(":")[0]
    hop = hop.removeprefix("[").partition("]")[0]
    _require_address(hop)
    return hop


def _parse_forwarded_element(element: str) -> str:
    """The `for` address of a forwarded-element (RFC 7239 section 4).

    An obfuscated or unknown node is returned as 0.0.0.0, which ends the chain.
    """
    for pair in element.split(";"):
        name, _, value = pair.strip().partition("=")
        if name.lower() == "for":
            if value.strip('"').lower() == "unknown" or value.strip('"').startswith("_"):
                return "0.0.0.0"
            found = _NODE.fullmatch(value)
            if found is None:
                raise Rejected(400, "Forwarded: a node that is no address")
            node = found[1] or found[2]
            _require_address(node)
            return node
    raise Rejected(400, "Forwarded: an element without for")


def _require_address(text: str) -> None:
    try:
        parse_address(text)
    except ValueError as error:
        raise Rejected(400, str(error)) from None
