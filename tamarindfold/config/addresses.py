"""Network addresses in configuration files."""

from __future__ import annotations

from ipaddress import AddressValueError, IPv4Address


def split_address(text: str, key: str) -> tuple[str, int]:
    """Split "IPv4:port"; the ValueError of a malformed address names the configuration key."""
    host, colon, port = text.rpartition(":")
    try:
        IPv4Address(host)
    except AddressValueError:
        raise ValueError(f"{key}: {text!r} is not an IPv4 address with a port") from None
    if not colon or not port.isdecimal() or not 0 < int(port) < 65536:
        raise ValueError(f"{key}: {text!r} has no port from 1 to 65535")
    return host, int(port)
