"""A keeper's configuration, as its YAML file holds it. Times are in milliseconds, sizes in bytes."""

from __future__ import annotations

from typing import Annotated, Literal

from msgspec import Meta

from tamarindfold.config.addresses import split_address
from tamarindfold.config.model import PositiveInt, PositiveFloat, Port, Section


class KeeperConfig(Section, frozen=True):
    """The whole file. keepers: all of them, in the same order in every file; me: which of them this is."""

    me: Annotated[int, Meta(ge=0)]
    keepers: Annotated[list[str], Meta(min_length=1, max_length=9)]
    state_dir: str
    key: str  # file of the fleet's signing key
    first_settings: str = ""  # file of what is agreed first, where nothing ever was
    host: str = "127.0.0.1"
    port: Port = 0  # 0: the one under which the others know this keeper
    seed: int = 1
    source_address: str = ""
    connections: PositiveInt = 2_000
    most_queued: PositiveInt = 256  # messages to one other keeper; the oldest go first, and are said again
    log_bytes: PositiveInt = 4 << 20  # a longer log on disk is replaced by what it comes to
    most_wait_ms: PositiveFloat = 30_000
    offer_ms: PositiveFloat = 5_000  # so long an operator waits for what came of a proposal
    log_level: Literal["debug", "info", "warning", "error"] = "info"


def check(config: KeeperConfig) -> None:
    """ValueError("place: reason") where the parts contradict each other."""
    if config.me >= len(config.keepers):
        raise ValueError(f"me: {config.me} is not below the number of keepers ({len(config.keepers)})")
    if len(config.keepers) % 2 == 0:
        raise ValueError(f"keepers: {len(config.keepers)} bear no more losses than {len(config.keepers) - 1}")
    for i, keeper in enumerate(config.keepers):
        split_address(keeper, f"keepers[{i}]")
    if len(set(config.keepers)) < len(config.keepers):
        raise ValueError("keepers: one is named twice")
