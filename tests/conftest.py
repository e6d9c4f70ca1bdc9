from __future__ import annotations

from collections.abc import Iterator
from typing import Any

import pytest
from rig import Rig, start
from world import World


@pytest.fixture
def rig() -> Iterator[Any]:
    """Starts rigs; stops them all at the end."""
    rigs: list[Rig] = []

    def make(*args: Any, **changes: Any) -> Rig:
        rigs.append(start(*args, **changes))
        return rigs[-1]

    yield make
    for made in rigs:
        made.stop()


@pytest.fixture
def world() -> Iterator[Any]:
    made: list[World] = []

    def make(*args: Any, start: bool = True, **changes: Any) -> World:
        made.append(World(*args, **changes))
        if start:
            made[-1].run()
        return made[-1]

    yield make
    for one in made:
        one.stop()
