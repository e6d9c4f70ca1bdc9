from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path
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


# ---- known failures: the tests that KNOWN-RED.txt names run, but their failure does not fail the suite

ROOT = Path(__file__).parent.parent
KNOWN_RED_RESULTS = pytest.StashKey[dict[str, str]]()


def known_red_ids() -> list[str]:
    """The pytest ids in KNOWN-RED.txt, each on a line of its own."""
    lines = (line.strip() for line in (ROOT / "KNOWN-RED.txt").read_text().splitlines())
    return [line for line in lines if line.startswith("tests/") and "::" in line]


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    results = config.stash[KNOWN_RED_RESULTS] = dict.fromkeys(known_red_ids(), "not run")
    selected_only = any(
        "::" in argument or argument.startswith("-k") for argument in config.invocation_params.args
    )
    collected = {item.nodeid for item in items}
    files = {item.nodeid.partition("::")[0] for item in items}
    unknown = [name for name in results if name not in collected and name.partition("::")[0] in files]
    whole_suite = not any(argument.startswith("tests/") for argument in config.invocation_params.args)
    if whole_suite:
        unknown = [name for name in results if name not in collected]
    if unknown and not selected_only:
        raise pytest.UsageError(f"KNOWN-RED.txt names tests that do not exist: {unknown}")


@pytest.hookimpl(wrapper=True)
def pytest_runtest_makereport(item: pytest.Item, call: pytest.CallInfo[None]) -> Iterator[Any]:
    report = yield
    results = item.config.stash[KNOWN_RED_RESULTS]
    if item.nodeid not in results:
        return report
    if report.failed:
        results[item.nodeid] = f"failed: {str(call.excinfo.value).splitlines()[0] if call.excinfo else ''}"
        report.outcome, report.wasxfail = "skipped", "listed in KNOWN-RED.txt"
    elif report.when == "call":
        results[item.nodeid] = "passed"
    return report


def pytest_terminal_summary(terminalreporter: Any, config: pytest.Config) -> None:
    if results := config.stash.get(KNOWN_RED_RESULTS, {}):
        terminalreporter.section("known failures (KNOWN-RED.txt)")
        for name, result in results.items():
            terminalreporter.write_line(f"{name}: {result}")
