"""Where memory or places run short: what is ended first, with what answer, and what never is."""

from __future__ import annotations

from contextlib import suppress
from typing import Any

import gevent
import pytest
from gevent import socket
from rig import read_answer, request, wait_for
from test_crossings import connection_of, override_limits
from testbed import PlatformTestbed

from tamarindfold.ds.memory import MemoryBudget
from tamarindfold.ingress.connection import CONNECTION_BYTES

HALF = b"POST /api HTTP/1.1\r\nHost: o\r\nContent-Length: 60000\r\n\r\n" + b"x" * 30_000
SMALL_HALF = HALF[:10_000]


def send_part(testbed: PlatformTestbed, data: bytes, sock: socket.socket | None = None) -> socket.socket:
    """Send a part of a request; returns once it was read."""
    sock = sock or testbed.connect()
    sock.sendall(data)
    name = sock.getsockname()
    wait_for(lambda: any(c.sock.getpeername() == name for c in testbed.node.front.reading))
    wait_for(lambda: connection_of(testbed, sock).memory.size > CONNECTION_BYTES + len(data))
    return sock


def known_client(testbed: PlatformTestbed) -> socket.socket:
    """An idle connection that had an answer."""
    sock = testbed.connect()
    assert testbed.ask(sock).status == 200
    name = sock.getsockname()
    wait_for(lambda: any(c.sock.getpeername() == name for c in testbed.node.front.reading))
    wait_for(lambda: connection_of(testbed, sock) in testbed.node.front.idle)
    return sock


def is_open(sock: socket.socket) -> bool:
    gevent.sleep(0.05)
    with suppress(BlockingIOError):
        sock._sock.recv(1, socket.MSG_PEEK)
        return False
    return True


def test_largest_unfinished_request_of_a_stranger_goes_first_with_an_error(start_testbed) -> None:
    testbed = start_testbed(1)
    known = known_client(testbed)
    begun = send_part(testbed, HALF, known_client(testbed))
    small, large = send_part(testbed, SMALL_HALF), send_part(testbed, HALF)
    memory = testbed.node.memory
    memory.capacity = memory.used - 1
    assert memory.make_room()
    assert read_answer(large).status == 503
    assert is_open(small) and is_open(known) and is_open(begun)
    assert testbed.node.front.counts["evicted_memory"] == 1


def test_idle_connections_go_before_unfinished_requests_of_known_clients(start_testbed) -> None:
    testbed = start_testbed(1)
    silent, known = testbed.connect(), known_client(testbed)
    begun = send_part(testbed, HALF, known_client(testbed))
    wait_for(lambda: len(testbed.node.front.reading) == 3)
    memory = testbed.node.memory
    memory.capacity = memory.used - 2 * CONNECTION_BYTES
    assert memory.make_room()
    assert silent.recv(1) == b"" and known.recv(1) == b"" and is_open(begun)
    memory.capacity = memory.used - 1
    assert memory.make_room() and read_answer(begun).status == 503


def test_request_that_was_read_or_is_unread_is_answered_whatever_memory_is_left(start_testbed) -> None:
    testbed = start_testbed(1, work_ms=100.0)
    open_sock, unread_sock = testbed.connect(), known_client(testbed)
    open_sock.sendall(testbed.request_bytes())
    wait_for(lambda: len(testbed.received()) == 2)
    unread_sock.sendall(testbed.request_bytes())  # lies in the socket buffer until the loop runs
    testbed.node.memory.capacity = 0
    assert not testbed.node.memory.make_room()
    assert read_answer(open_sock).status == 200 and read_answer(unread_sock).status == 200


def test_connection_without_room_is_closed_unread(start_testbed) -> None:
    testbed = start_testbed(1)
    testbed.node.memory.capacity = 0
    with testbed.connect() as sock, suppress(ConnectionResetError):
        assert sock.recv(1) == b""
    assert testbed.node.front.counts["no_memory"] == 1
    testbed.node.memory.capacity = 1 << 20
    assert testbed.ask().status == 200 and testbed.node.memory.used <= 2 * CONNECTION_BYTES


def test_client_that_does_not_read_its_answer_is_ended_last(start_testbed) -> None:
    testbed = start_testbed(1, body="x" * 1_000_000)
    testbed.node.listener.socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    sock.connect(testbed.node.config.listen)
    sock.sendall(testbed.request_bytes())
    wait_for(lambda: testbed.node.front.writing)
    memory = testbed.node.memory
    assert memory.used > 1_000_000
    memory.capacity = 500_000
    assert memory.make_room() and memory.used < 500_000
    wait_for(lambda: not len(testbed.node.front.clients))
    sock.close()


def test_answers_of_backends_take_memory_of_the_same_budget(start_testbed) -> None:
    testbed = start_testbed(1, body="x" * 300_000)
    half = send_part(testbed, HALF)
    testbed.node.memory.capacity = 700_000
    assert testbed.ask().status == 200 and is_open(half)
    testbed.node.memory.capacity = 400_000
    assert testbed.ask().status != 200
    assert read_answer(half).status == 503  # ended for the answer, although that did not suffice
    wait_for(lambda: testbed.node.memory.used <= CONNECTION_BYTES)


def test_budget_reclaims_in_order_until_the_accounts_fit() -> None:
    budget = MemoryBudget(100)
    spare, last = budget.account(90), budget.account(90)
    freed: list[str] = []

    def free(name: str, account: Any) -> bool:
        if not account.size:
            return False
        account.resize(0)
        freed.append(name)
        return True

    budget.reclaimers += [lambda: free("spare", spare), lambda: free("last", last)]
    assert budget.make_room() and freed == ["spare"] and budget.used == 90
    wanted = budget.account(120)
    assert not budget.make_room() and freed == ["spare", "last"] and budget.used == wanted.size
    wanted.resize(0)
    assert budget.used == 0 and budget.peak == 210


def test_connections_with_unread_input_can_be_ended_to_make_room(start_testbed, monkeypatch) -> None:
    """Otherwise clients that send without a pause would hold every place."""
    override_limits(monkeypatch, connections=3)
    testbed = start_testbed(1)
    busy = [send_part(testbed, SMALL_HALF) for _ in range(3)]
    monkeypatch.setattr(
        "tamarindfold.ingress.connection.ClientConnection.has_unread_bytes", lambda self: True
    )
    assert testbed.ask().status == 200
    assert read_answer(busy[0]).status == 503 and is_open(busy[1])


def test_pipelined_requests_that_come_together_are_accounted_for(rig) -> None:
    gateway = rig(servers=1)
    with gateway.connect() as sock:
        sock.sendall(b"GET /unknown HTTP/1.1\r\nHost: o\r\n\r\n" * 100)
        received = b""
        while received.count(b"HTTP/1.1 404") < 100:
            received += sock.recv(65_536)
    assert gateway.ingress.memory.peak > CONNECTION_BYTES + 40_000


@pytest.mark.parametrize("front", ["run", "serve"])
def test_all_memory_is_given_back_when_connections_end(start_testbed, rig, front) -> None:
    testbed, gateway = start_testbed(1), rig(servers=1, limits={"client_memory_bytes": 1 << 20})
    target = testbed if front == "run" else gateway
    budget = testbed.node.memory if front == "run" else gateway.ingress.memory
    data = testbed.request_bytes() if front == "run" else request()
    for piece in (b"", HALF, b"\x00\x00", data, data[:30]):
        with target.connect() as sock:
            sock.sendall(piece)
            gevent.sleep(0.02)
    wait_for(lambda: not budget.used)
    assert 0 < budget.peak <= 1 << 20
