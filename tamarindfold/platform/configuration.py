"""Reads and validates the JSON configuration of an ingress on the platform.

Its settings have the simulator's names and units, so the simulator's reader (bench.settings) reads them.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import msgspec

from tamarindfold.bench.settings import Reader, read_settings
from tamarindfold.config.addresses import split_address
from tamarindfold.interface import Settings

Address = tuple[str, int]
MIN_SOCKETS = 128
MIN_MEMORY_MB = 32


@dataclass(frozen=True, slots=True)
class Configuration:
    """The configuration of one ingress; times in milliseconds."""

    name: str
    listen: Address
    discovery: Address
    counter: Address | None
    seed: int
    sockets: int
    memory_mb: float
    initial_list: bytes  # the backends known at start, as a line of the registry; empty: none
    settings: Settings
    zones: tuple[str, ...]
    kinds: tuple[str, ...]
    conn_idle_ms: float
    dial_timeout_ms: float
    open_cap: int


def flatten(value: Any, path: str = "") -> dict[str, str]:
    """Turn nested JSON into dotted settings paths; list elements are numbered or joined by commas."""
    if isinstance(value, dict):
        found: dict[str, str] = {}
        for key, inner in value.items():
            found |= flatten(inner, f"{path}.{key}" if path else str(key))
        return found
    if isinstance(value, list):
        if not any(isinstance(item, dict | list) for item in value):
            joined = ",".join(text for item in value for text in flatten(item, "x").values())
            return {path: joined} | ({} if value else {f"{path}.count": "0"})
        found = {f"{path}.count": str(len(value))}
        for i, inner in enumerate(value):
            found |= flatten(inner, f"{path}.{i}")
        return found
    if value is None:
        return {}
    if isinstance(value, bool):
        return {path: "true" if value else "false"}
    return {path: str(value)}


def _member(data: dict[str, Any], key: str, expected: type) -> Any:
    value = data.get(key)
    if not isinstance(value, expected) or isinstance(value, bool):
        raise ValueError(
            f"{key}: {'missing' if value is None else f'{value!r:.60} is not of type {expected.__name__}'}"
        )
    return value


def addresses(text: bytes) -> tuple[Address, Address | None]:
    """The addresses of discovery and counter in a changed configuration; ValueError if it is invalid."""
    return _addresses(_decode(text))


def _names(settings: dict[str, Any], key: str) -> tuple[str, ...]:
    """A list of names, read before flattening, which would split a name that contains a comma."""
    value = settings.get(key)
    return tuple(map(str, value)) if isinstance(value, list) else tuple(str(value or "").split(","))


def _addresses(data: dict[str, Any]) -> tuple[Address, Address | None]:
    counter = data.get("counter")
    return (
        split_address(_member(data, "discovery", str), "discovery"),
        split_address(counter, "counter") if counter else None,
    )


def _decode(text: bytes) -> dict[str, Any]:
    try:
        data = msgspec.json.decode(text)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise ValueError(f"not JSON: {error}") from None
    if not isinstance(data, dict):
        raise ValueError("not a JSON object")
    return data


def read(text: bytes) -> Configuration:
    """Parse the configuration; ValueError names the missing or malformed key. Unknown keys are ignored."""
    data = _decode(text)
    seed = data.get("seed", "0")
    try:
        number = seed if isinstance(seed, int) else int(str(seed), 16)
    except ValueError:
        raise ValueError(f"seed: {seed!r:.60} is not a hexadecimal number") from None
    limits = _member(data, "limits", dict)
    sockets = _member(limits, "sockets", int)
    memory_mb = limits.get("memory_mb", MIN_MEMORY_MB)
    if not isinstance(memory_mb, int | float) or not memory_mb >= MIN_MEMORY_MB:
        raise ValueError(f"limits.memory_mb: {memory_mb!r:.60} is not a number of at least {MIN_MEMORY_MB}")
    if sockets < MIN_SOCKETS:
        raise ValueError(f"limits.sockets: {sockets} is below {MIN_SOCKETS}")
    settings = _member(data, "settings", dict)
    reader = Reader(flatten(settings))
    discovery, counter = _addresses(data)
    return Configuration(
        name=str(data.get("name", "")),
        listen=split_address(_member(data, "listen", str), "listen"),
        discovery=discovery,
        counter=counter,
        seed=number,
        sockets=sockets,
        memory_mb=memory_mb,
        initial_list=msgspec.json.encode(data["known"]) if data.get("known") else b"",
        settings=read_settings(reader),
        zones=_names(settings, "zones"),
        kinds=_names(settings, "machine_types"),
        conn_idle_ms=reader.number("permissions.conn_idle", 30_000),
        dial_timeout_ms=reader.number("permissions.dial_timeout", 250),
        open_cap=reader.integer("permissions.open_cap", 20_000),
    )
