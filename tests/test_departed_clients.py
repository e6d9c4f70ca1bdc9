"""Nothing is sent for a client that has left, however much of its input is unread, and no id runs twice."""

from __future__ import annotations

import gevent
import pytest
from gevent import socket
from rig import read_answer, request, wait_for
from test_crossings import call_at
from testbed import PlatformTestbed

from tamarindfold.ingress import peer
from tamarindfold.node.call_ids import CallIds
from tamarindfold.standins.base import reset

MIB = 1 << 20


def send_and_leave(sock: socket.socket, data: bytes, how: str) -> None:
    """Hand the kernel as much as it takes of the data, then close or reset the connection."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 8 * MIB)
    sock.setblocking(False)
    sent = 0
    try:
        while sent < len(data):
            sent += sock._sock.send(data[sent:])
    except BlockingIOError:
        pass  # the peer doesn't read: the end of the stream stays behind what it has not read
    if how == "reset":
        reset(sock)
    else:
        sock.close()


@pytest.mark.parametrize("how", ["close", "reset"])
@pytest.mark.parametrize("unread", [0, 1, 60_000, MIB, 8 * MIB])
def test_run_sends_nothing_for_a_client_that_left_behind_unread_input(
    start_testbed, monkeypatch, how, unread
) -> None:
    testbed: PlatformTestbed = start_testbed(1)
    sock = testbed.connect()
    call_at(
        monkeypatch,
        testbed.node.pool,
        "connect",
        lambda: send_and_leave(sock, b"x" * unread, how),
        after=True,
    )
    sock.sendall(testbed.request_bytes())
    wait_for(lambda: testbed.node.front.counts["requests"] and not len(testbed.node.front.clients))
    assert not testbed.received()


@pytest.mark.parametrize("how", ["close", "reset"])
@pytest.mark.parametrize("unread", [0, 1, 60_000, MIB, 8 * MIB])
def test_serve_sends_nothing_for_a_client_that_left_behind_unread_input(
    rig, monkeypatch, how, unread
) -> None:
    gateway = rig(servers=1)
    sock = gateway.connect()
    call_at(
        monkeypatch,
        gateway.ingress.pool,
        "connect",
        lambda: send_and_leave(sock, b"x" * unread, how),
        after=True,
    )
    sock.sendall(request())
    wait_for(lambda: gateway.ingress.front.counts["requests"] and not len(gateway.ingress.front.clients))
    assert not gateway.entries("received")


def test_serve_answers_a_request_whose_client_has_sent_more_than_is_kept(rig, monkeypatch) -> None:
    gateway = rig(servers=1)
    sock = gateway.connect()
    more = request("/switches", "POST", body=b"x" * 30_000)
    call_at(monkeypatch, gateway.ingress.pool, "connect", lambda: sock.sendall(more), after=True)
    sock.sendall(request())
    received = b""
    while received.count(b"HTTP/1.1 200") < 2:
        received += (data := sock.recv(65_536))
        assert data, received


@pytest.mark.parametrize("how", ["shutdown", "reset"])
@pytest.mark.parametrize("unread", [0, 100_000])
def test_closed_peer_is_seen_behind_unread_input(how, unread) -> None:
    listener = socket.create_server(("127.0.0.1", 0))
    client = socket.create_connection(listener.getsockname())
    served, _ = listener.accept()
    served.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4 * MIB)
    assert not peer.has_closed(served)
    gevent.spawn(client.sendall, b"x" * unread).join()
    assert not peer.has_closed(served)
    if how == "reset":
        reset(client)
    else:
        client.shutdown(socket.SHUT_WR)
    wait_for(lambda: peer.has_closed(served))
    for sock in (listener, client, served):
        sock.close()


# ---- ids


@pytest.mark.parametrize("cls", ["quote", "switch"])
@pytest.mark.parametrize("how", ["close", "reset"])
def test_id_that_may_run_for_a_client_that_left_is_rejected_until_its_deadline(
    start_testbed, cls, how
) -> None:
    testbed: PlatformTestbed = start_testbed(1, work_ms=300.0)
    data = testbed.request_bytes(cls=cls)
    sock = testbed.connect()
    sock.sendall(data)
    wait_for(testbed.received)
    send_and_leave(sock, b"", how)
    wait_for(lambda: testbed.node.core.counts["left"] == 1)
    assert ask_again(testbed, data) == 409 and len(testbed.received()) == 1
    testbed.node.steady._base_ms += 3000  # its deadline is over
    assert ask_again(testbed, data) == 200


def test_id_of_an_unsafe_request_that_was_served_is_rejected_until_its_deadline(start_testbed) -> None:
    testbed: PlatformTestbed = start_testbed(1)
    data = testbed.request_bytes(cls="switch")
    assert [ask_again(testbed, data) for _ in range(2)] == [200, 409]
    assert len(testbed.received()) == 1


def test_id_of_a_request_that_was_refused_may_come_again(start_testbed) -> None:
    testbed: PlatformTestbed = start_testbed(1)
    for _ in range(10):
        data = testbed.request_bytes(X_Contract="small")
        if ask_again(testbed, data) == 429:
            break
    assert ask_again(testbed, data) in (200, 429)


def ask_again(testbed: PlatformTestbed, data: bytes) -> int:
    sock = testbed.connect()
    sock.sendall(data)
    return read_answer(sock).status


def test_ended_ids_are_bounded_and_expire() -> None:
    ids = CallIds(max_ended=2)
    for name in (b"a", b"b", b"c"):
        ids.add(name)
        assert ids.is_taken(name, 0.0)
        ids.end(name, 0.0, 100.0)
    assert [ids.is_taken(name, 99.0) for name in (b"a", b"b", b"c")] == [False, True, True]
    assert ids.forgotten == 1 and not ids.is_taken(b"c", 100.0)
    ids.add(b"d")
    ids.end(b"d", 150.0, 0.0)
    assert not ids.ended and not ids.open and not ids.is_taken(b"d", 150.0)
