"""What ends leaves nothing behind that only the garbage collector could free: it runs rarely on purpose."""

from __future__ import annotations

import gc
from collections import Counter
from collections.abc import Iterator
from contextlib import suppress
from typing import Any

import gevent
import pytest
from hostile_clients import FLOODING, HOLDING, VALID
from rig import read_answer, request, wait_for

from tamarindfold.http1.requests import Rejected, RequestReader
from tamarindfold.http1.responses import BadResponse, ResponseReader
from tamarindfold.platform.registry import WatchReader

PARTS = ("ClientConnection", "Connection", "Reader", "Exchange", "Request", "Attempt", "Rejected", "Parser")


@pytest.fixture
def garbage() -> Iterator[Any]:
    """A function that returns what of this project was made and became garbage since the last call, by type."""
    gc.collect()
    gc.disable()
    gc.set_debug(gc.DEBUG_SAVEALL)

    def collected() -> Counter[str]:
        gc.collect()
        found = Counter(type(thing).__name__ for thing in gc.garbage)
        gc.garbage.clear()
        gc.freeze()  # what earlier tests left behind may become garbage at any time
        return Counter({name: n for name, n in found.items() if name.endswith(PARTS)})

    yield collected
    gc.set_debug(0)
    gc.garbage.clear()
    gc.unfreeze()
    gc.enable()


@pytest.mark.parametrize(
    ("reader", "error", "data"),
    [
        (lambda: RequestReader(16_384, 64, 65_536), Rejected, b"GET / HTTP/1.1\r\n" + b"a: b\r\n" * 100),
        (lambda: RequestReader(16_384, 64, 65_536), Rejected, b"\x00"),
        (lambda: ResponseReader(1000), BadResponse, b"HTTP/1.1 200 OK\r\ncontent-length: 2000\r\n\r\n"),
        (WatchReader, ValueError, b"HTTP/1.1 503 No\r\n\r\n"),
    ],
)
def test_reader_that_raised_is_freed_at_once(garbage, reader, error, data) -> None:
    with suppress(error):
        reader().feed(data)
    assert not garbage()


@pytest.mark.parametrize("shape", [*HOLDING, "noise", "head without end", "input behind a request"])
def test_ended_client_connection_is_freed_at_once(start_testbed, garbage, shape) -> None:
    import random

    testbed = start_testbed()
    data = (HOLDING | FLOODING)[shape](random.Random(1))
    garbage()
    for _ in range(3):
        sock = testbed.connect()
        with suppress(OSError):
            sock.sendall(data)
            gevent.sleep(0.05)
        sock.close()
    wait_for(lambda: not len(testbed.node.front.clients))
    wait_for(lambda: not testbed.node.core.open_exchanges)
    assert not garbage()


def test_served_and_failed_requests_are_freed_at_once(start_testbed, rig, garbage) -> None:
    testbed, gateway = start_testbed(), rig()
    garbage()
    for cls in ("quote", "switch"):
        sock = testbed.connect()
        assert testbed.ask(sock, cls=cls).status == 200
        sock.close()
    with gateway.connect() as sock:
        sock.sendall(request())
        assert read_answer(sock).status == 200
    with gateway.connect() as sock:
        sock.sendall(b"GET /unknown HTTP/1.1\r\nHost: o\r\n" + VALID + b"\r\n")
        assert read_answer(sock).status == 404
    wait_for(lambda: not len(testbed.node.front.clients) and not len(gateway.ingress.front.clients))
    assert not garbage()
