"""The faults of links (relay.py), and the search for stale versions in a history of probes."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

import gevent
import msgspec
import pytest
from gevent import socket
from gevent.server import StreamServer
from rig import wait_for

from tamarindfold.ingress.clock import SteadyClock
from tamarindfold.rehearsal.relay import LinkFault, Relay
from tamarindfold.rehearsal.version_probe import find_stale_versions


class Echo:
    """A server that echoes what it receives and records it."""

    def __init__(self) -> None:
        self.read = b""
        self.open = 0
        self.server = StreamServer(("127.0.0.1", 0), self.serve)
        self.server.start()

    def serve(self, sock: socket.socket, _: object) -> None:
        self.open += 1
        try:
            while data := sock.recv(4096):
                self.read += data
                sock.sendall(data)
        except OSError:
            pass
        finally:
            self.open -= 1


@pytest.fixture
def link() -> Iterator[Any]:
    echo = Echo()
    notes: list[tuple[float, str, dict[str, Any]]] = []
    relay = Relay(
        "a > b",
        ("127.0.0.1", echo.server.server_port),
        SteadyClock().now,
        1,
        lambda at, what, **fields: notes.append((at, what, fields)),
        "127.9.0.1",
    )
    yield relay, echo, notes
    relay.stop()
    echo.server.stop()


def connect(relay: Relay) -> socket.socket:
    host, _, port = relay.address.rpartition(":")
    sock = socket.create_connection((host, int(port)), timeout=10)
    return sock


def fault(**fields: Any) -> LinkFault:
    return msgspec.convert(fields, LinkFault)


def test_link_without_faults_forwards_everything(link: Any) -> None:
    relay, echo, _ = link
    sock = connect(relay)
    sock.sendall(b"x" * 100_000)
    got = b""
    while len(got) < 100_000:
        got += sock.recv(65536)
    assert got == b"x" * 100_000 == echo.read
    sock.close()
    wait_for(lambda: not echo.open)  # the end of the connection is forwarded too


@pytest.mark.parametrize(("way", "reached"), [("both", b""), ("there", b""), ("back", b"lost")])
def test_cut_loses_bytes_and_ends_the_connection(link: Any, way: str, reached: bytes) -> None:
    relay, echo, notes = link
    sock = connect(relay)
    sock.sendall(b"1")
    assert sock.recv(10) == b"1"
    relay.inject(fault(kind="cut", way=way))
    sock.sendall(b"lost")
    gevent.sleep(0.05)
    wait_for(lambda: echo.read[1:] == reached)
    relay.heal()
    with pytest.raises(OSError):
        sock.sendall(b"more")
        while data := sock.recv(10):
            assert data != b"lost"
        raise ConnectionResetError
    assert [n[2]["kind"] for n in notes] == ["cut", "heal"]
    again = connect(relay)
    again.sendall(b"2")
    assert again.recv(10) == b"2"


def test_stall_delays_bytes_without_loss(link: Any) -> None:
    relay, echo, _ = link
    sock = connect(relay)
    relay.inject(fault(kind="stall"))
    sock.sendall(b"kept")
    gevent.sleep(0.02)
    assert echo.read == b""
    relay.heal()
    assert sock.recv(10) == b"kept"
    relay.inject(fault(kind="stall", for_ms=5))
    sock.sendall(b"too")
    assert sock.recv(10) == b"too"  # after the end of the stall's duration


def test_delay_keeps_the_order_of_bytes(link: Any) -> None:
    relay, _, _ = link
    relay.inject(fault(kind="delay", way="there", delay_ms=30, jitter_ms=30))
    sock = connect(relay)
    started_at = relay.clock()
    for part in (b"a", b"b", b"c"):
        sock.sendall(part)
        gevent.sleep(0.002)
    got = b""
    while len(got) < 3:
        got += sock.recv(10)
    assert got == b"abc" and relay.clock() - started_at >= 30


def test_reset_half_open_and_refuse(link: Any) -> None:
    relay, echo, _ = link
    one = connect(relay)
    one.sendall(b"1")
    assert one.recv(10) == b"1"
    relay.inject(fault(kind="reset"))
    with pytest.raises(ConnectionResetError):
        one.recv(10)
    two = connect(relay)
    two.sendall(b"2")
    assert two.recv(10) == b"2"
    relay.inject(fault(kind="half_open"))
    wait_for(lambda: not echo.open)
    two.settimeout(0.05)
    two.sendall(b"nowhere")
    with pytest.raises(TimeoutError):
        two.recv(10)
    relay.inject(fault(kind="refuse"))
    with pytest.raises(OSError):
        three = connect(relay)
        three.sendall(b"3")
        if not three.recv(10):
            raise ConnectionResetError


def probe(at: float, index: int, version: int, status: int = 401, start: float = 0.0) -> dict[str, Any]:
    return {
        "t": at,
        "what": "mark",
        "index": index,
        "mark": version,
        "status": status,
        "start": start or at - 1,
    }


def test_only_versions_acted_on_for_too_long_beside_a_newer_one_are_found() -> None:
    first = [probe(10, 0, 1), probe(11, 1, 1), probe(100, 0, 2)]
    late = probe(1300, 1, 1)
    assert not find_stale_versions([*first, probe(1000, 1, 1)], 1000).breaches
    seen = find_stale_versions([*first, late], 1000)
    assert [b["instance"] for b in seen.breaches] == [1] and seen.max_overlap_ms == 1199
    # a probe may reflect the moment of its start, unless the instance was suspended then and resumed later
    assert not find_stale_versions([*first, probe(1300, 1, 1, start=90)], 1000).breaches
    suspension = [
        {"t": 80, "what": "instance_stalls", "index": 1},
        {"t": 1250, "what": "instance_resumes", "index": 1},
    ]
    assert find_stale_versions([*first, *suspension, probe(1300, 1, 1, start=90)], 1000).breaches
    assert not find_stale_versions([*first, probe(1300, 1, 1, 503)], 1000).breaches
    # answered before the resumption, so it was sent before the suspension took effect
    answered = probe(95, 1, 1, start=90)
    assert not find_stale_versions([*first, *suspension, answered], 1000).breaches
