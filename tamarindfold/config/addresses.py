"""Addresses in configurations."""

from __future__ import annotations

from ipaddress import AddressValueError, IPv4Address


def split_address(text: str, what: str) -> tuple[str, int]:
    """An IPv4 address and port; ValueError names what is wrong."""
    host, colon, port = text.rpartition(":")
    try:
        IPv4Address(host)
    except AddressValueError:
        raise ValueError(f"{what}: {text!r} is not an IPv4 address with a port") from None
    if not colon or not port.isdecimal() or not 0 < int(port) < 65536:
        raise ValueError(f"{what}: {text!r} has no port from 1 to 65535")
    return host, int(port)
