"""The schema of a keeper's YAML configuration file. Times are in milliseconds, sizes in bytes."""

from __future__ import annotations

from typing import Annotated, Literal

from msgspec import Meta

from tamarindfold.config.addresses import split_address
from tamarindfold.config.model import PositiveInt, PositiveFloat, Port, Section


class KeeperConfig(Section, frozen=True):
    """The root of the file.

    `keepers` holds the addresses of the whole consensus group, in the same order in every keeper's file, and
    `me` is this keeper's index in it.
    """

    me: Annotated[int, Meta(ge=0)]
    keepers: Annotated[list[str], Meta(min_length=1, max_length=9)]
    state_dir: str
    key: str  # path of the fleet's signing key
    first_settings: str = ""  # path of the settings to propose while the log holds none; optional
    host: str = "127.0.0.1"
    port: Port = 0  # 0: the port of this keeper's address in `keepers`
    seed: int = 1
    source_address: str = ""
    connections: PositiveInt = 2_000
    most_queued: PositiveInt = 256  # messages per peer; the oldest are dropped first, and resent later
    log_bytes: PositiveInt = 4 << 20  # a larger log file is compacted into one snapshot
    most_wait_ms: PositiveFloat = 30_000  # upper bound of a long poll by an instance
    offer_ms: PositiveFloat = 5_000  # how long an operator's call waits for the outcome of a proposal
    log_level: Literal["debug", "info", "warning", "error"] = "info"


def check(config: KeeperConfig) -> None:
    """Validate fields against each other; ValueError("field: reason") if they are inconsistent."""
    if config.me >= len(config.keepers):
        raise ValueError(f"me: {config.me} is not below the number of keepers ({len(config.keepers)})")
    if len(config.keepers) % 2 == 0:
        raise ValueError(
            f"keepers: {len(config.keepers)} tolerate no more failures than {len(config.keepers) - 1}"
        )
    for i, keeper in enumerate(config.keepers):
        split_address(keeper, f"keepers[{i}]")
    if len(set(config.keepers)) < len(config.keepers):
        raise ValueError("keepers: an address is listed twice")
