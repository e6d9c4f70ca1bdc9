"""Hostile peers on the other links of `run`: backends, discovery and the counter send without end."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import suppress
from typing import Any

import gevent
import msgspec
import pytest
from gevent import socket
from gevent.server import StreamServer
from ingress_process import IngressProcess, start_run
from rig import read_answer, wait_for
from test_hostile_input import BUDGET_S, MEGABYTE, SMALLEST
from testbed import PlatformTestbed

PLAY_S = 3.0
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


class EndlessSender:
    """Answers what comes first with `first`, and then sends `data` for as long as the peer reads."""

    def __init__(self, first: bytes, data: bytes) -> None:
        self.first, self.data = first, data
        self.server = StreamServer(("127.0.0.1", 0), self.serve)
        self.server.start()
        self.address = f"127.0.0.1:{self.server.server_port}"

    def serve(self, sock: socket.socket, _peer: object) -> None:
        with suppress(OSError):
            sock.recv(65_536)
            sock.sendall(self.first)
            while True:
                sock.sendall(self.data)
                gevent.sleep(0.001)

    def stop(self) -> None:
        self.server.stop()


@pytest.fixture
def play(start_testbed, tmp_path) -> Iterator[Any]:
    """Run an ingress with hostile links for a while; its process, and the status of each good request."""
    started: list[Any] = []

    def make(good_clients: int = 5, **links: EndlessSender) -> tuple[IngressProcess, list[int]]:
        testbed: PlatformTestbed = start_testbed(start=False)
        for name, sender in links.items():
            started.append(sender)
            if name == "backend":
                testbed.discovery.instances = {}
                hostile = {"instanceId": "s-x", "hostPort": sender.address, "lifecycle": "active"}
                testbed.discovery.change(hostile)
            else:
                testbed.config[name] = sender.address
        process = start_run(testbed, tmp_path, *SMALLEST)
        started.append(process)
        wait_for(process.is_listening, 30)
        statuses: list[int] = []

        def ask_for_a_while() -> None:
            until = gevent.get_hub().loop.now() + PLAY_S
            while gevent.get_hub().loop.now() < until:
                with process.connect() as sock:
                    sock.settimeout(BUDGET_S + 1)
                    sock.sendall(testbed.request_bytes(X_Budget=f"{BUDGET_S:.3f}"))
                    statuses.append(read_answer(sock).status)
                gevent.sleep(0.02)

        gevent.joinall([gevent.spawn(ask_for_a_while) for _ in range(good_clients)], raise_error=True)
        return process, statuses

    yield make
    for part in started:
        part.stop()


def check(process: IngressProcess) -> None:
    assert process.process.poll() is None, process.log.read_text()[-2000:]
    assert process.memory_bytes() <= SMALLEST[0] * MEGABYTE


LIST = {"generation": 41, "reset": True}


@pytest.mark.parametrize(
    "data",
    [b"\n", b" ", b'{"a":', b'"' + b"x" * 900, b"{\n", b'{"generation":42,"instances":[]}\n'],
    ids=["empty lines", "blanks", "open object", "open string", "open lines", "lists"],
)
def test_run_survives_a_discovery_that_sends_without_end(play, start_testbed, data) -> None:
    backends: PlatformTestbed = start_testbed(start=False)
    first = msgspec.json.encode(LIST | {"instances": [backends.instance(i) for i in range(2)]}) + b"\n"
    process, statuses = play(
        discovery=EndlessSender(CHUNKED + chunk(first), chunk(data) * (16_384 // len(data)))
    )
    check(process)
    assert statuses.count(200) > 0.9 * len(statuses)


@pytest.mark.parametrize(
    "data", [b":1\r\n", b"*1000\r\n", b"$9\r\nx\r\n", b"+PONG\r\n", b"\x00"], ids=lambda data: repr(data)
)
def test_run_survives_a_counter_that_sends_without_end(play, data) -> None:
    process, statuses = play(counter=EndlessSender(b"*100000000\r\n", data * (16_384 // len(data))))
    check(process)
    assert statuses.count(200) > 0.9 * len(statuses)


@pytest.mark.parametrize(
    ("first", "data"),
    [
        (CHUNKED, b"1\r\nx\r\n" * 2_000),
        (b"HTTP/1.1 200 OK\r\n", b"a:\r\n" * 2_000),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n", b"x" * 16_384),
        (b"", b"HTTP/1.1 103 Early Hints\r\n\r\n" * 500),
    ],
    ids=["small chunks", "short fields", "large", "interim"],
)
def test_run_survives_backends_that_send_without_end(play, first, data) -> None:
    process, statuses = play(30, backend=EndlessSender(first, data))
    check(process)
    assert statuses and not set(statuses) - {200, 429, 502, 503, 504}
