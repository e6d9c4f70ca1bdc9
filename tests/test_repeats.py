"""Further attempts of keyed requests stay within the time in which the backends drop a repeat."""

from __future__ import annotations

from collections.abc import Callable
from math import inf
from typing import Any

import pytest
from build import START, ended, gateway, request
from gevent import socket
from rig import read_answer, wait_for
from test_platform import SETTINGS
from testbed import PLANS, PlatformTestbed

from tamarindfold.interface import AttemptEnded, Outcome, Refuse, Send
from tamarindfold.standins.base import reset, serve_http

SAFE, KEYED_ALL = 0, 2  # indexes of these classes in build.settings()
KEYED_WINDOW_MS = 3000.0  # of KEYED_ALL
WINDOW_MS = 200.0
BOOK = {
    "name": "book",
    "aim": 1000.0,
    "hard_limit": 6000.0,
    "points": 5.0,
    "idempotency": "token",
    "group": "all",
    "dedup_window": WINDOW_MS,
}


def start_with_keyed_class(start_testbed: Any, **permissions: float) -> PlatformTestbed:
    testbed = start_testbed(2, start=False)
    testbed.config["settings"] = SETTINGS | {
        "categories": [BOOK],
        "plans": PLANS,
        "permissions": SETTINGS["permissions"] | permissions,
    }
    testbed.run()
    return testbed


def wait_until_window_ended(testbed: PlatformTestbed) -> None:
    """Wait until the window of an attempt that began before this call has ended, by the ingress's clock."""
    ended_at = testbed.node.steady.now() + WINDOW_MS
    wait_for(lambda: testbed.node.steady.now() > ended_at)


# ---- the decision


@pytest.mark.parametrize(
    ("first_byte_ms", "reported_ms", "action"),
    [(None, 2990, Send), (None, 3400, Refuse), (500, 3400, Send), (500, 3600, Refuse)],
)
def test_window_counts_from_the_first_byte_and_not_back_from_the_outcome(
    first_byte_ms, reported_ms, action
) -> None:
    """Guards against a second run: the outcome is reported late, or its elapsed time is too short."""
    g = gateway()
    (sent,) = g.handle(START, request(1, KEYED_ALL))
    written = {} if first_byte_ms is None else {"first_byte_ms": START + first_byte_ms}
    outcome = AttemptEnded(1, 0, sent.backend, Outcome.RESET, 50.0, False, **written)
    (decided,) = g.handle(START + reported_ms, outcome)
    assert isinstance(decided, action)


def test_repeat_is_limited_by_the_window_and_other_attempts_are_not() -> None:
    """Guards against a second run: a repeat is decided on in time and written too late."""
    g = gateway(max_attempts=4)
    (first,) = g.handle(START, request(1, KEYED_ALL))
    (second,) = g.handle(START + 10, ended(1, first.backend, Outcome.FULL))
    assert first.write_until_ms == second.write_until_ms == inf  # nothing has run yet
    failed = AttemptEnded(1, 1, second.backend, Outcome.RESET, 5.0, False, first_byte_ms=START + 20)
    (repeat,) = g.handle(START + 30, failed)
    window_end = START + 20 + KEYED_WINDOW_MS
    assert isinstance(repeat, Send) and window_end - 10 < repeat.write_until_ms < window_end
    (answer,) = g.handle(repeat.write_until_ms, ended(1, repeat.backend, Outcome.MOOT, attempt=2))
    assert isinstance(answer, Refuse)
    (safe,) = g.handle(START, request(2, SAFE))
    (safe_repeat,) = g.handle(START + 30, ended(2, safe.backend, Outcome.RESET))
    assert safe_repeat.write_until_ms == inf


# ---- the ingress on sockets


def reset_after_run(backend: Any) -> Callable[..., None]:
    """An answer of a backend that runs the request and resets its connection at once."""

    def answer(sock: socket.socket, request: Any, first_byte_at: float) -> None:
        backend.ledger.record(first_byte_at, "came")
        reset(sock)

    return answer


def record_outcomes(testbed: PlatformTestbed, monkeypatch: pytest.MonkeyPatch) -> list[AttemptEnded]:
    """The ends of attempts in the order in which the decision module gets them."""
    ends: list[AttemptEnded] = []
    handle = testbed.node.core.gateway.handle

    def record_and_handle(now: float, event: Any) -> Any:
        if isinstance(event, AttemptEnded):
            ends.append(event)
        return handle(now, event)

    monkeypatch.setattr(testbed.node.core.gateway, "handle", record_and_handle)
    return ends


def test_keyed_request_is_not_repeated_if_its_answer_is_reset_after_the_window(
    start_testbed, monkeypatch
) -> None:
    """Guards against a second run: half an answer came within the window, and the reset after it."""
    testbed = start_with_keyed_class(start_testbed)

    def break_off(sock: socket.socket, request: Any, first_byte_at: float) -> None:
        testbed.backends[0].ledger.record(first_byte_at, "came")
        sock.sendall(b"HTTP/1.1 200 OK\r\n\r\nhalf")
        wait_until_window_ended(testbed)
        reset(sock)

    for backend in testbed.backends:
        monkeypatch.setattr(backend, "_answer", break_off)
    ends = record_outcomes(testbed, monkeypatch)
    asked_at = testbed.node.steady.now()
    assert testbed.ask(cls="book", body=b"x").status == 503
    assert len(testbed.received()) == 1
    (attempt,) = ends
    assert attempt.elapsed_ms >= WINDOW_MS  # up to the reset, not up to the last bytes
    assert asked_at <= attempt.first_byte_ms <= testbed.node.steady.now() - WINDOW_MS


def test_keyed_request_is_not_repeated_on_a_connection_that_comes_up_after_the_window(
    start_testbed, monkeypatch
) -> None:
    """Guards against a second run: the repeat is decided on within the window and connects after it."""
    testbed = start_with_keyed_class(start_testbed)
    for backend in testbed.backends:
        monkeypatch.setattr(backend, "_answer", reset_after_run(backend))
    connect = testbed.node.pool.connect

    def connect_late(*args: Any) -> Any:
        if testbed.received():
            wait_until_window_ended(testbed)
        return connect(*args)

    monkeypatch.setattr(testbed.node.pool, "connect", connect_late)
    ends = record_outcomes(testbed, monkeypatch)
    assert testbed.ask(cls="book", body=b"x").status == 503
    assert len(testbed.received()) == 1
    assert [end.outcome for end in ends] == [Outcome.RESET, Outcome.MOOT]
    assert testbed.node.pool.total_open == 1  # the unused connection is kept


def test_repeat_waits_for_a_connection_only_up_to_the_end_of_the_window(start_testbed, monkeypatch) -> None:
    """Guards against an answer that comes late although the request was given up at the end of the window."""
    testbed = start_with_keyed_class(start_testbed, dial_timeout=60_000.0)
    for backend in testbed.backends:
        monkeypatch.setattr(backend, "_answer", reset_after_run(backend))
    connect, waits_s = testbed.node.pool.connect, []

    def connect_never(backend: int, address: tuple[str, int], timeout_s: float) -> Any:
        if not testbed.received():
            return connect(backend, address, timeout_s)
        waits_s.append(timeout_s)
        wait_until_window_ended(testbed)
        raise TimeoutError

    monkeypatch.setattr(testbed.node.pool, "connect", connect_never)
    ends = record_outcomes(testbed, monkeypatch)
    assert testbed.ask(cls="book", body=b"x").status == 503
    assert [end.outcome for end in ends] == [Outcome.RESET, Outcome.MOOT]
    assert len(waits_s) == 1 and waits_s[0] <= WINDOW_MS / 1000


def test_repeat_that_is_not_complete_at_the_end_of_the_window_is_abandoned(
    start_testbed, monkeypatch
) -> None:
    """Guards against a second run: a repeat begins within the window, and its last byte is written after it."""
    testbed = start_with_keyed_class(start_testbed)
    read_bytes: list[int] = []

    def serve(sock: socket.socket, peer: tuple[str, int]) -> None:
        if testbed.received():  # the repeat: nothing is read before the window has ended
            wait_until_window_ended(testbed)
            while data := sock.recv(65_536):
                read_bytes.append(len(data))
            return
        backend = next(b for b in testbed.backends if b.server.server_port == sock.getsockname()[1])
        serve_http(sock, backend.clock, reset_after_run(backend))

    connect = testbed.node.pool.connect

    def connect_with_small_buffer(*args: Any) -> Any:
        connection = connect(*args)
        connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 1)
        return connection

    for backend in testbed.backends:
        backend.server.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1)
        monkeypatch.setattr(backend, "serve", serve)
    monkeypatch.setattr(testbed.node.pool, "connect", connect_with_small_buffer)
    ends = record_outcomes(testbed, monkeypatch)
    body = b"x" * 60_000
    assert testbed.ask(cls="book", body=body).status == 503
    assert [end.outcome for end in ends] == [Outcome.RESET, Outcome.MOOT]
    wait_for(lambda: not testbed.node.pool.total_open)
    assert sum(read_bytes) < len(body)


def test_attempt_that_waits_for_room_in_the_socket_is_not_sent_to_a_backend_that_drains(
    start_testbed, monkeypatch
) -> None:
    """Guards against a send after a drain: the check was made before the first byte had to wait."""
    testbed = start_with_keyed_class(start_testbed)
    unread: list[socket.socket] = []
    got: list[bytes] = []

    def serve(sock: socket.socket, peer: tuple[str, int]) -> None:
        unread.append(sock)
        wait_for(lambda: testbed.node.directory.generation == 42)
        while data := sock.recv(65_536):
            got.append(data)

    connect = testbed.node.pool.connect

    def connect_with_full_buffer(*args: Any) -> Any:
        """A connection whose buffer holds bytes that the backend has not read yet."""
        connection = connect(*args)
        with pytest.raises(BlockingIOError):
            while True:
                connection.sock._sock.send(b"o" * 65_536)
        return connection

    for backend in testbed.backends:
        monkeypatch.setattr(backend, "serve", serve)
    monkeypatch.setattr(testbed.node.pool, "connect", connect_with_full_buffer)
    ends = record_outcomes(testbed, monkeypatch)
    sock = testbed.connect()
    sock.sendall(testbed.request_bytes(cls="book", body=b"body"))
    wait_for(lambda: unread)
    draining = [testbed.instance(i, lifecycle="leaving") for i in range(2)]
    testbed.discovery.change(*draining)
    assert read_answer(sock).status == 503
    assert [end.outcome for end in ends] == [Outcome.MOOT]
    wait_for(lambda: not testbed.node.pool.total_open)
    assert set(b"".join(got)) == {ord("o")}
