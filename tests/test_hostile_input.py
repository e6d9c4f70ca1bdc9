"""Hostile clients against real processes: memory stays within the limit, and other clients get their answers."""

from __future__ import annotations

import resource
import subprocess
import sys
from collections.abc import Callable, Iterator
from pathlib import Path
from time import monotonic
from typing import Any

import gevent
import pytest
from hostile_clients import FLOODING, HOLDING
from ingress_process import ROOT, IngressProcess, start_run, start_serve
from rig import read_answer, request, start_standins, wait_for
from testbed import PlatformTestbed

PLAY_S = 3.0
GOOD_INTERVAL_S = 0.05
BUDGET_S = 2.0  # of a good client's request
CLOSE_LIMIT_S = 3.0  # a bad client is owed a close or an error within 3 s of connecting
MEGABYTE = 1_000_000
MIB = 1 << 20
# serve has no memory limit: what it may keep for clients is `limits.client_memory_bytes`
SERVE_CLIENT_MEMORY_BYTES = 8 * MIB
SERVE_OTHER_GROWTH_BYTES = 8 * MIB  # caches, pools and the allocator
SMALLEST, LARGEST = (32, 1024), (192, 256)  # memory in MB, descriptors


@pytest.fixture(autouse=True)
def enough_descriptors() -> None:
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(hard, 8192), hard))


class GoodClients:
    """Clients that ask at an even rate, each on a new connection; what came of each request."""

    def __init__(self, ask: Callable[[], int]) -> None:
        self.ask, self.statuses, self.times_s = ask, [], [0.0]
        self.greenlets: list[gevent.Greenlet] = []

    def _one(self) -> None:
        began = monotonic()
        try:
            status = self.ask()
        except OSError as error:
            status = repr(error)
        self.times_s.append(monotonic() - began)
        self.statuses.append(status)

    @property
    def slowest_s(self) -> float:
        return max(self.times_s)

    def ask_while(self, hostile: subprocess.Popen[str]) -> None:
        while hostile.poll() is None:
            self.greenlets.append(gevent.spawn(self._one))
            gevent.sleep(GOOD_INTERVAL_S)
        gevent.joinall(self.greenlets)


class Target:
    """A process under test and a way for good clients to ask it."""

    def __init__(self, process: IngressProcess, ask: Callable[[], int]) -> None:
        self.process, self.ask = process, ask
        wait_for(process.is_listening, 30)
        for _ in range(20):
            assert ask() == 200
        self.rest_bytes = process.memory_bytes()

    def play(self, shape: str, connections: int, seed: int = 1, *options: str) -> tuple[GoodClients, float]:
        """Good and hostile clients together; also the longest time a holding client stayed unanswered."""
        host, port = self.process.address
        command = [shape, str(connections), str(PLAY_S), str(seed), *options]
        with subprocess.Popen(
            [sys.executable, str(Path(__file__).parent / "hostile_clients.py"), host, str(port), *command],
            cwd=ROOT,
            stdout=subprocess.PIPE,
            text=True,
        ) as hostile:
            good = GoodClients(self.ask)
            good.ask_while(hostile)
            return good, float(hostile.communicate()[0])

    def check_good(self, good: GoodClients) -> None:
        assert self.process.process.poll() is None, self.process.log.read_text()[-2000:]
        late = [status for status in good.statuses if status not in (200, 429, 503)]
        assert not late and good.slowest_s < BUDGET_S, (good.slowest_s, late[:5], len(late))
        assert good.statuses.count(200) > len(good.statuses) / 2, good.statuses


@pytest.fixture
def run(start_testbed, tmp_path) -> Iterator[Any]:
    processes: list[IngressProcess] = []

    def make(memory_mb: int, descriptors: int) -> Target:
        testbed: PlatformTestbed = start_testbed(start=False)
        processes.append(start_run(testbed, tmp_path, memory_mb, descriptors))
        process = processes[-1]

        def ask() -> int:
            with process.connect() as sock:
                sock.sendall(testbed.request_bytes(X_Budget=f"{BUDGET_S:.3f}"))
                return read_answer(sock).status

        return Target(process, ask)

    yield make
    for process in processes:
        process.stop()


@pytest.fixture
def serve(tmp_path) -> Iterator[Any]:
    started: list[Any] = []

    def make() -> Target:
        standins = start_standins()
        process = start_serve(standins, tmp_path, 4096, client_memory_bytes=SERVE_CLIENT_MEMORY_BYTES)
        started.extend((process, standins))

        def ask() -> int:
            with process.connect() as sock:
                sock.sendall(request(Tamarind_Time_Left=str(round(BUDGET_S * 1000))))
                return read_answer(sock).status

        return Target(process, ask)

    yield make
    for part in started:
        part.stop()


@pytest.mark.parametrize(("memory_mb", "descriptors"), [SMALLEST, LARGEST])
@pytest.mark.parametrize("shape", HOLDING)
def test_run_stays_within_its_memory_limit_with_held_connections(run, shape, memory_mb, descriptors) -> None:
    target = run(memory_mb, descriptors)
    good, longest_wait_s = target.play(shape, 600)
    target.check_good(good)
    assert target.process.memory_bytes() <= memory_mb * MEGABYTE
    assert target.process.descriptors() <= descriptors
    assert longest_wait_s < CLOSE_LIMIT_S


def test_run_stays_within_its_memory_limit_with_slow_large_requests(run) -> None:
    target = run(*SMALLEST)
    good, longest_wait_s = target.play("half a large body", 300, 1, "slow")
    target.check_good(good)
    assert target.process.memory_bytes() <= SMALLEST[0] * MEGABYTE and longest_wait_s < CLOSE_LIMIT_S


@pytest.mark.parametrize("connections", [1, 8])
@pytest.mark.parametrize("shape", FLOODING)
def test_run_answers_other_clients_during_a_flood(run, shape, connections) -> None:
    target = run(*SMALLEST)
    good, _ = target.play(shape, connections)
    target.check_good(good)
    assert target.process.memory_bytes() <= SMALLEST[0] * MEGABYTE


@pytest.mark.parametrize("shape", HOLDING)
def test_serve_bounds_its_memory_with_held_connections(serve, shape) -> None:
    target = serve()
    good, _ = target.play(shape, 600)
    target.check_good(good)
    growth = target.process.memory_bytes() - target.rest_bytes
    assert growth <= SERVE_CLIENT_MEMORY_BYTES + SERVE_OTHER_GROWTH_BYTES


@pytest.mark.parametrize("shape", FLOODING)
def test_serve_answers_other_clients_during_a_flood(serve, shape) -> None:
    target = serve()
    good, _ = target.play(shape, 8)
    target.check_good(good)
    growth = target.process.memory_bytes() - target.rest_bytes
    assert growth <= SERVE_CLIENT_MEMORY_BYTES + SERVE_OTHER_GROWTH_BYTES
