"""Hostile clients as a program of its own: python hostile_clients.py HOST PORT SHAPE CONNECTIONS SECONDS SEED.

A holding shape sends its bytes and waits for the end of the connection; a flooding one sends them again and
again at full speed. Both connect anew when the connection ends. Prints the longest time, in seconds, that a
connection of a holding shape stayed open without an answer.
"""

from __future__ import annotations

import random
import sys
import time
from collections.abc import Callable, Iterator
from contextlib import suppress

import gevent
from gevent import socket

CHUNK_BYTES = 65_536
POST = b"POST /api?key=00000000b4d65521 HTTP/1.1\r\nHost: o\r\n"
VALID = (
    b"X-Call-Class: quote\r\nX-Contract: team\r\nX-Budget: 1.000\r\nX-Metering: units=1,spread=1,first=0\r\n"
)


def _readiness(_seed: random.Random) -> bytes:
    return b"GET /health/ready HTTP/1.1\r\nHost: o\r\n\r\n"


def _valid(seed: random.Random) -> bytes:
    """A request of a customer that was never seen before."""
    key, call = seed.getrandbits(33), seed.getrandbits(64)
    return (
        b"GET /api?key=%016x HTTP/1.1\r\nHost: o\r\nX-Call-Id: %016x\r\n" % (key % (1 << 33), call)
        + VALID
        + b"\r\n"
    )


def _cached_values(seed: random.Random) -> bytes:
    """A valid request with an x-metering value that is large and new."""
    metering = b"units=1,spread=1,first=0,%x=%s" % (seed.getrandbits(64), b"v" * 15_000)
    return _valid(seed).replace(b"units=1,spread=1,first=0", metering)


def _new_token(seed: random.Random) -> bytes:
    return b"GET /quotes HTTP/1.1\r\nHost: o\r\nAuthorization: Bearer %064x\r\n\r\n" % seed.getrandbits(256)


def _random_piece(seed: random.Random) -> bytes:
    """A piece of the grammar of HTTP/1.1, sound or not."""
    return seed.choice(
        (
            b"\r\n",
            b"GET / HTTP/1.1\r\n",
            b"POST /%x HTTP/1.1\r\n" % seed.getrandbits(seed.choice((8, 4096))),
            b"Host: o\r\n",
            b"a:\r\n" * seed.choice((1, 30, 300)),
            b"%x: %x\r\n" % (seed.getrandbits(32), seed.getrandbits(seed.choice((8, 20_000)))),
            b"Content-Length: %d\r\n" % seed.choice((0, 1, 60_000, 65_536, 60_000_000)),
            b"Transfer-Encoding: chunked\r\n",
            b"Expect: 100-continue\r\n",
            b"\r\n\r\n",
            b"1\r\nx\r\n" * seed.choice((1, 1000)),
            b"0\r\n\r\n",
            b"x" * seed.choice((1, 1000, 60_000)),
            b"\x00\xff",
            _readiness(seed),
            _valid(seed),
        )
    )


HOLDING: dict[str, Callable[[random.Random], bytes]] = {
    "silent": lambda seed: b"",
    "half a large body": lambda seed: POST + b"Content-Length: 65536\r\n\r\n" + b"x" * 60_000,
    "many short fields": lambda seed: POST + b"".join(b"%x:\r\n" % i for i in range(60)),
    "one long field": lambda seed: POST + b"a:" + b"b" * 16_000,
    "a large chunked body": lambda seed: (
        POST + b"Transfer-Encoding: chunked\r\n\r\n" + b"2\r\nxx\r\n" * 30_000
    ),
    "random": lambda seed: b"".join(_random_piece(seed) for _ in range(seed.randrange(1, 30))),
}
FLOODING: dict[str, Callable[[random.Random], bytes]] = {
    "empty lines": lambda seed: b"\r\n" * 8_000,
    "head without end": lambda seed: b"GET / HTTP/1.1\r\n" + b"X-A: bbbbbb\r\n" * 4_000,
    "body without end": lambda seed: POST + b"Content-Length: 60000000\r\n\r\n" + b"x" * CHUNK_BYTES,
    "noise": lambda seed: b"\x00\xff what is this\r\n\r\n" * 1_000,
    "readiness": lambda seed: _readiness(seed) * 1_000,
    "new names": _valid,
    "input behind a request": lambda seed: _valid(seed) + b"x" * CHUNK_BYTES,
    "new cached values": _cached_values,
    "new tokens": _new_token,
    "random pieces": HOLDING["random"],
}
# the answer is awaited before the next request, as a client that keeps to the protocol does
ALTERNATING = ("new names", "new cached values", "new tokens")


class HostileClients:
    """All connections of one shape; `longest_wait_s` is the longest that one stayed open unanswered."""

    def __init__(self, address: tuple[str, int], shape: str, seconds: float, seed: int, slow: bool) -> None:
        self.address, self.shape, self.until = address, shape, time.monotonic() + seconds
        self.seed, self.slow, self.longest_wait_s = seed, slow, 0.0

    def run(self, connections: int) -> None:
        flooding = self.shape in FLOODING and not self.slow
        play = self._flood if flooding else self._hold
        gevent.joinall([gevent.spawn(self._repeat, play, self.seed + i) for i in range(connections)])

    def _repeat(self, play: Callable[[socket.socket, random.Random], None], seed: int) -> None:
        chance = random.Random(seed)
        while time.monotonic() < self.until:
            with suppress(OSError), socket.create_connection(self.address, timeout=5) as sock:
                play(sock, chance)
            gevent.sleep(0.01)

    def _pieces(self, data: bytes) -> Iterator[bytes]:
        size = 4096 if self.slow else CHUNK_BYTES
        for start in range(0, len(data), size):
            yield data[start : start + size]

    def _hold(self, sock: socket.socket, chance: random.Random) -> None:
        connected = time.monotonic()
        try:
            for piece in self._pieces(HOLDING[self.shape](chance)):
                sock.sendall(piece)
                if self.slow:
                    gevent.sleep(0.02)
            sock.settimeout(max(0.1, self.until - time.monotonic()))
            sock.recv(1)
        except TimeoutError:
            return  # the play ended first
        finally:
            if time.monotonic() < self.until:
                self.longest_wait_s = max(self.longest_wait_s, time.monotonic() - connected)

    def _flood(self, sock: socket.socket, chance: random.Random) -> None:
        sock.settimeout(1)
        if self.shape not in ALTERNATING:
            gevent.spawn(self._read_answers, sock)
        while time.monotonic() < self.until:
            sock.sendall(FLOODING[self.shape](chance))
            if self.shape in ALTERNATING:
                if not sock.recv(CHUNK_BYTES):
                    return
            else:
                gevent.sleep(0)

    def _read_answers(self, sock: socket.socket) -> None:
        with suppress(OSError):
            while sock.recv(CHUNK_BYTES):
                pass


def main() -> None:
    host, port, shape, connections, seconds, seed, *options = sys.argv[1:]
    clients = HostileClients((host, int(port)), shape, float(seconds), int(seed), "slow" in options)
    clients.run(int(connections))
    print(f"{clients.longest_wait_s:.3f}")


if __name__ == "__main__":
    main()
