from __future__ import annotations

from collections.abc import Iterator
from typing import Any

import pytest
from rig import Rig, start
from testbed import PlatformTestbed


@pytest.fixture
def rig() -> Iterator[Any]:
    """A factory of started rigs, which are stopped when the test ends."""
    rigs: list[Rig] = []

    def make(*args: Any, **options: Any) -> Rig:
        rigs.append(start(*args, **options))
        return rigs[-1]

    yield make
    for started in rigs:
        started.stop()


@pytest.fixture
def start_testbed() -> Iterator[Any]:
    """A factory of platform testbeds, started unless start=False, which are stopped when the test ends."""
    testbeds: list[PlatformTestbed] = []

    def make(*args: Any, start: bool = True, **options: Any) -> PlatformTestbed:
        testbeds.append(PlatformTestbed(*args, **options))
        if start:
            testbeds[-1].run()
        return testbeds[-1]

    yield make
    for testbed in testbeds:
        testbed.stop()
