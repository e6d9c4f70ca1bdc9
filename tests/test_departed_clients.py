"""Nothing is sent for a client that has left, however much of its input is unread, and no id runs twice."""

from __future__ import annotations

import gevent
import pytest
from gevent import socket
from rig import request, wait_for
from test_crossings import call_at
from testbed import PlatformTestbed

from tamarindfold.ingress import peer
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
