"""Faults of tokens, clients, servers and the counter, each over real sockets."""

from __future__ import annotations

import gevent
import pytest
from rig import read_answer, request, wait_for

from tamarindfold.interface import BackendState, FleetUpdate, ListKind
from tamarindfold.standins.base import Fault

# ---- tokens


def test_a_hanging_token_check_is_refused_within_the_clients_time(rig) -> None:
    r = rig(introspection={"timeout_ms": 60_000})
    r.tokens.inject(Fault(kind="hang"))
    answer = r.ask("/switches", "POST", tamarind_time_left="300")
    assert (answer.status, answer.outcome) == (503, "refused")
    assert answer.problem["detail"] == "the token check took too long"
    assert int(answer.headers["tamarind-retry-after-ms"]) > 0
    assert not r.entries("received")
    assert r.ingress.core.counts["arrived"] == 0


def test_a_stale_token_answer_is_used_only_for_classes_that_allow_it(rig) -> None:
    from rig import CLASSES

    classes = [CLASSES[0] | {"unchecked": "stale"}, *CLASSES[1:]]
    r = rig(classes=classes, introspection={"max_age_ms": 1, "stale_ms": 60_000, "timeout_ms": 100})
    assert r.ask().status == 200
    r.tokens.inject(Fault(kind="error", status=500))
    assert r.ask().status == 200
    assert r.ask("/switches", "POST").status == 503
    assert r.ask(token="small").status == 503  # not in the cache


@pytest.mark.parametrize("kind", ["error", "not_json", "wrong_type", "close"])
def test_an_invalid_introspection_answer_does_not_admit(rig, kind) -> None:
    r = rig()
    r.tokens.inject(Fault(kind=kind, status=503))
    answer = r.ask()
    assert (answer.status, answer.outcome) == (503, "refused")
    r.tokens.clear()
    assert r.ask().status == 200


SHORT = {"short": {"sub": "a", "plan": "open", "scope": "switch", "exp_in_ms": 600_000}}


def advance_past_expiry(r) -> None:
    """Advance the gateway's clock beyond the token's lifetime."""
    r.ingress.steady._base_ms += 601_000


def expire_tokens_of_open_requests(r) -> None:
    """Let the tokens of all open requests expire now."""
    for exchange in r.ingress.core.open_exchanges.values():
        exchange.token_until_ms = r.ingress.steady.now()


def before_connect(r, action) -> None:
    """Call the action whenever the gateway is about to connect to a server."""
    connect = r.ingress.pool.connect

    def act_and_connect(backend, address, within_s):
        action(backend)
        return connect(backend, address, within_s)

    r.ingress.pool.connect = act_and_connect


def test_a_cached_token_is_rejected_after_its_expiry(rig) -> None:
    r = rig(tokens=SHORT)
    assert r.ask(token="short").status == 200
    advance_past_expiry(r)
    answer = r.ask(token="short")
    assert (answer.status, answer.outcome) == (401, "rejected")


def test_nothing_is_sent_if_the_token_expires_while_connecting(rig) -> None:
    r = rig(tokens=SHORT)
    before_connect(r, lambda _: expire_tokens_of_open_requests(r))
    answer = r.ask("/switches", "POST", token="short")
    assert (answer.status, answer.headers["www-authenticate"].count("invalid_token")) == (401, 1)
    assert not r.entries("received")
    assert r.ingress.core.counts["expired"] == 1
    assert not r.ingress.core.gateway.calls


def test_a_token_that_expires_between_attempts_fails_the_request(rig) -> None:
    r = rig(servers=3, tokens=SHORT)
    for server in r.servers:
        server.inject(Fault(kind="reset_after_run"))
    before_connect(r, lambda _: expire_tokens_of_open_requests(r) if r.entries("ran") else None)
    answer = r.ask(token="short")
    assert (answer.status, answer.outcome) == (502, "failed")
    assert len(r.entries("received")) == 1


# ---- clients


def test_a_client_that_disconnects_within_the_body_is_not_counted_as_arrived(rig) -> None:
    r = rig()
    sock = r.connect()
    sock.sendall(request("/switches", "POST", body=b"x" * 100)[:-50])
    wait_for(lambda: r.ingress.front.counts["connections"])
    sock.close()
    assert r.ask().status == 200
    assert [e["cls"] for e in r.entries("received")] == ["quote"]
    assert r.ingress.core.counts["arrived"] == 1


def test_a_request_is_not_sent_again_after_its_client_disconnected(rig) -> None:
    r = rig(server={"default_work_ms": 400.0, "sigma": 0.0})
    for server in r.servers:
        server.inject(Fault(kind="reset_after_run"))
    sock = r.connect()
    sock.sendall(request("/quotes"))
    wait_for(lambda: r.entries("received"))
    sock.close()
    wait_for(lambda: r.ingress.core.counts["left"] == 1)
    wait_for(lambda: r.entries("ran") and not r.ingress.core.sender.running)
    assert len(r.entries("received")) == 1
    assert not r.ingress.core.gateway.calls


def test_a_client_that_resets_within_an_answer_does_not_affect_others(rig) -> None:
    r = rig()
    sock = r.connect()
    sock.sendall(request("/quotes") * 40)
    sock.setsockopt(1, 13, b"\x01\x00\x00\x00\x00\x00\x00\x00")  # SO_LINGER: reset at close
    wait_for(lambda: r.entries("received"))
    sock.close()
    assert r.ask().status == 200
    wait_for(lambda: r.ingress.front.in_flight == 0)


def test_slowly_sent_headers_time_out(rig) -> None:
    r = rig(limits={"header_timeout_ms": 200})
    sock = r.connect()
    sock.sendall(b"GET /quotes HTTP/1.1\r\nHost: a\r\nX-Slow: ")
    trickle = gevent.spawn(lambda: [(sock.send(b"z"), gevent.sleep(0.02)) for _ in range(2000)])
    answer = read_answer(sock)
    trickle.kill()
    assert (answer.status, answer.headers["connection"]) == (408, "close")


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (
            b"POST /switches HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            400,
        ),
        (
            b"POST /switches HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n\r\n",
            400,
        ),
        (b"POST /switches HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", 400),
        (b"POST /switches HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", 501),
        (b"GET /quotes HTTP/1.1\nHost: a\n\n", 400),
        (b"GET /quotes HTTP/1.1\r\nHost: a\nX: b\r\n\r\n", 400),
        (b"GET /quotes HTTP/1.1\r\nHost : a\r\n\r\n", 400),
        (b"GET /quotes HTTP/1.1\r\nHost: a\r\n folded\r\n\r\n", 400),
        (b"GET /quotes HTTP/1.1\r\n\r\n", 400),
        (b"GET /quotes HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", 400),
        (b"GET /quotes HTTP/2.7\r\nHost: a\r\n\r\n", 400),
        (b"GET /quotes HTTP/1.1\r\nHost: a\r\nExpect: tea\r\n\r\n", 417),
        (b"GET /quotes HTTP/1.1\r\nHost: a\r\nX: " + b"y" * 20_000 + b"\r\n\r\n", 431),
        (b"GET /quotes HTTP/1.1\r\nHost: a\r\nX: " + b"y" * 200_000, 431),
        (b"GET /quotes HTTP/1.1\r\nHost: a\r\n" + b"X: y\r\n" * 150 + b"\r\n", 431),
        (b"GET /" + b"q" * 9_000 + b" HTTP/1.1\r\nHost: a\r\n\r\n", 414),
        (b"POST /switches HTTP/1.1\r\nHost: a\r\nContent-Length: 9999999\r\n\r\n", 413),
        (
            b"POST /switches HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
            + b"8000\r\n"
            + b"z" * 0x8000
            + b"\r\n8000\r\n"
            + b"z" * 0x8000
            + b"\r\n",
            413,
        ),
        (b"POST /switches HTTP/1.1\r\nHost: a\r\nContent-Length: -1\r\n\r\n", 400),
        (b"\x16\x03\x01\x02\x00\x01\x00", 400),
    ],
)
def test_ambiguous_and_oversized_requests_are_rejected(rig, data, status) -> None:
    r = rig(limits={"body_bytes": 40_000})
    answer = r.raw(data)
    assert (answer.status, answer.headers["connection"]) == (status, "close")
    assert not r.entries("received")


def test_pipelined_requests_are_answered_in_order(rig) -> None:
    r = rig()
    sock = r.connect()
    sock.sendall(b"".join(request("/quotes", tamarind_request=f"p{i}") for i in range(6)))
    data = b""
    while data.count(b"tamarind-request: p") < 6 or not data.endswith(b"}"):
        data += sock.recv(65536)
    at = [data.index(f"tamarind-request: p{i}".encode()) for i in range(6)]
    assert at == sorted(at)
    assert data.count(b"HTTP/1.1 200 OK") == 6


def test_an_http_1_0_connection_is_closed_after_one_answer(rig) -> None:
    r = rig()
    sock = r.connect()
    sock.sendall(b"GET /quotes HTTP/1.0\r\nAuthorization: Bearer good\r\n\r\n")
    assert read_answer(sock).status == 200
    assert sock.recv(1) == b""


def test_a_client_that_expects_100_continue_gets_it(rig) -> None:
    r = rig()
    sock = r.connect()
    sock.sendall(
        b"POST /switches HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer good\r\nContent-Length: 4\r\n"
        b"Expect: 100-continue\r\n\r\n"
    )
    assert sock.recv(100) == b"HTTP/1.1 100 Continue\r\n\r\n"
    sock.sendall(b"body")
    assert read_answer(sock).status == 200


def test_a_chunked_body_reaches_the_server_whole(rig) -> None:
    r = rig()
    answer = r.raw(
        b"POST /switches HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer good\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
    )
    assert answer.status == 200


# ---- servers


def test_a_server_that_answers_before_the_end_of_the_body(rig) -> None:
    r = rig(servers=1, limits={"body_bytes": 8 << 20})
    r.servers[0].inject(Fault(kind="early_answer"))
    answer = r.ask("/switches", "POST", body=b"x" * (4 << 20))
    # the operating system delivers either the answer or a reset
    assert answer.outcome in ("served", "failed")
    assert len(r.entries("early")) == 1  # the request is not sent a second time


def test_a_second_answer_on_a_connection_is_discarded_with_the_connection(rig) -> None:
    r = rig(servers=1)
    r.servers[0].inject(Fault(kind="answer_twice"))
    bodies = [r.ask().body for _ in range(6)]
    assert b"again" not in bodies
    assert r.ingress.pool.counts["opened"] == 6 or r.ingress.pool.counts["found_closed"] > 0


@pytest.mark.parametrize(("path", "method"), [("/quotes", "GET"), ("/switches", "POST")])
def test_an_answer_cut_off_within_a_chunk_is_not_delivered(rig, path, method) -> None:
    r = rig(servers=3)
    for server in r.servers:
        server.inject(Fault(kind="close_mid_chunk"))
    answer = r.ask(path, method)
    assert answer.outcome == ("failed" if method == "POST" else "refused")
    assert len(r.entries("received")) == (1 if method == "POST" else 3)


def test_an_unsafe_request_whose_answer_is_lost_fails_and_is_not_repeated(rig) -> None:
    r = rig(servers=3)
    for server in r.servers:
        server.inject(Fault(kind="drop_answer"))
    answer = r.ask("/switches", "POST", tamarind_time_left="400")
    assert (answer.status, answer.outcome) == (504, "failed")
    assert len(r.entries("ran")) == 1


def test_idle_connections_closed_by_the_server_do_not_fail_unsafe_requests(rig) -> None:
    r = rig(servers=1)
    r.servers[0].inject(Fault(kind="close_idle"))
    for _ in range(10):
        assert r.ask("/switches", "POST").outcome == "served"
    assert r.ingress.pool.counts["reused"] == 0


def test_nothing_is_sent_to_a_server_that_drains_while_connecting(rig) -> None:
    r = rig(servers=2)
    drained = []

    def drain(backend: int) -> None:
        if not drained:
            drained.append(backend)
            entry = r.ingress.core.fleet[backend]
            update = type(entry)(backend, BackendState.DRAINING, entry.zone)
            r.ingress.core.update_fleet(FleetUpdate(ListKind.CHANGES, [update]))

    before_connect(r, drain)
    assert r.ask("/switches", "POST").outcome == "served"
    assert len(r.entries("received")) == 1
    assert r.ingress.core.counts["moot"] == 1
    assert r.ingress.core.counts["attempts"] == 2
    drained_server = next(s for s in r.servers if int(s.address.rpartition(":")[2]) == drained[0] & 0xFFFF)
    assert not drained_server.ledger.entries_of_kind("received")


def test_another_choice_is_made_if_a_server_restarts_while_connecting(rig) -> None:
    r = rig(servers=1)
    restarted = []

    def restart(backend: int) -> None:
        if not restarted:
            restarted.append(backend)
            entry = r.ingress.core.fleet[backend]
            update = type(entry)(backend, BackendState.READY, up_since_ms=r.ingress.steady.now())
            r.ingress.core.update_fleet(FleetUpdate(ListKind.CHANGES, [update]))

    before_connect(r, restart)
    r.ask()
    assert r.ingress.core.counts["moot"] == 1


def test_unreachable_servers_lead_to_a_refusal_of_an_unsafe_request(rig) -> None:
    r = rig(servers=2)
    for server in r.servers:
        server.stop()
    answer = r.ask("/switches", "POST")
    assert (answer.status, answer.outcome) == (503, "refused")


def test_reported_true_units_are_used_only_within_bounds(rig) -> None:
    from tamarindfold.http1.responses import ResponseReader

    r = rig()
    reader = ResponseReader(1000)
    for value, units in ((b"3", 3.0), (b"1e9", 0.0), (b"-1", 0.0), (b"nan", 0.0), (b"many", 0.0)):
        reader.begin()
        reader.feed(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nTamarind-Units: " + value + b"\r\n\r\n")
        assert r.ingress.core.sender.backends.units(reader) == units


# ---- the counter


def test_a_late_answer_to_a_timed_out_counter_call_is_discarded(rig) -> None:
    r = rig(counter=True)
    r.ask(token="small")
    r.counter.inject(Fault(kind="mute", for_ms=900))
    for _ in range(6):
        r.ask(token="small")
    pipeline = r.ingress.counter.parts[0].pipeline
    wait_for(lambda: not pipeline.calls)
    assert pipeline.late_replies > 0
    r.counter.clear()
    r.ask(token="small")
    wait_for(lambda: not pipeline.calls)
    assert pipeline.connected
    assert ("counter.lost", {}) not in r.logged


@pytest.mark.parametrize("kind", ["lost", "error", "mute"])
def test_requests_are_answered_without_the_counter(rig, kind) -> None:
    r = rig(counter=True)
    r.counter.inject(Fault(kind=kind, for_ms=1500))
    outcomes = [r.ask(token="small").outcome for _ in range(8)]
    assert set(outcomes) <= {"served", "refused"}
    assert "served" in outcomes
