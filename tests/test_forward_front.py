"""The forward-auth front over sockets, sharing its core with the proxy front."""

from __future__ import annotations

import msgspec
import pytest
from gevent import socket
from rig import read_answer, wait_for

from tamarindfold.interface import Outcome


@pytest.fixture
def proxy(rig):
    """Starts a gateway with both fronts; returns it with functions that send sub-requests and reports."""

    def make(trusted: str = "127.0.0.0/8", **changes):
        forward = {"trusted": [trusted], "lapse_ms": changes.pop("lapse_ms", 60_000), "decide_ms": 10_000}
        r = rig(forward=forward, **changes)
        port = r.ingress.forward_listener.server_port

        def send(data: bytes):
            sock = socket.create_connection(("127.0.0.1", port), timeout=10)
            r.opened.append(sock)
            sock.sendall(data)
            return read_answer(sock)

        def ask(method: str = "GET", uri: str = "/quotes", token: str = "good", **headers: str):
            lines = [
                f"X-Forwarded-Method: {method}",
                f"X-Forwarded-Uri: {uri}",
                f"Authorization: Bearer {token}",
                *(f"{n.replace('_', '-')}: {v}" for n, v in headers.items()),
            ]
            return send(("GET /auth HTTP/1.1\r\nHost: g\r\n" + "\r\n".join(lines) + "\r\n\r\n").encode())

        def report(**fields):
            body = msgspec.json.encode(fields)
            return send(b"POST /report HTTP/1.1\r\nHost: g\r\nContent-Length: %d\r\n\r\n" % len(body) + body)

        return r, ask, report

    return make


def record_outcomes(r) -> list[Outcome]:
    """Records the attempt outcomes that reach the core from now on."""
    outcomes: list[Outcome] = []
    attempt_ended = r.ingress.core.attempt_ended

    def record(*args):
        outcomes.append(args[3])
        attempt_ended(*args)

    r.ingress.core.attempt_ended = record
    return outcomes


def test_permit_names_a_server_and_is_ended_by_one_report(proxy) -> None:
    r, ask, report = proxy()
    outcomes = record_outcomes(r)
    answer = ask(tamarind_request="p1", tamarind_units="2")
    assert (answer.status, answer.outcome) == (200, "permitted")
    assert answer.headers["tamarind-plan"] == "open" and answer.headers["tamarind-units"] == "2"
    assert answer.headers["tamarind-server"] in {s.address for s in r.servers}
    assert len(r.ingress.core.open_exchanges) == 1 and not r.entries("received")
    assert report(request="p1", status=200, elapsed_ms=12.0, units=3).status == 200
    assert outcomes == [Outcome.OK] and not r.ingress.core.open_exchanges and not r.ingress.core.gateway.calls
    assert msgspec.json.decode(report(request="p1", status=200, elapsed_ms=12.0).body) == {"repeated": 1}
    assert report(request="p1", status=200, elapsed_ms=12.0, instance=3).status == 421
    assert report(request="p2", status=200, elapsed_ms=12.0).status == 404
    assert outcomes == [Outcome.OK]
    assert not r.ingress.core.sender.running


def test_reported_failure_counts_against_the_server_without_a_retry(proxy) -> None:
    r, ask, report = proxy()
    outcomes = record_outcomes(r)
    ask("POST", "/switches", tamarind_request="p1")
    assert report(request="p1", status=502, elapsed_ms=5.0).status == 200
    assert outcomes == [Outcome.ERROR] and not r.ingress.core.gateway.calls


def test_unreported_permit_lapses_without_penalty_for_the_server(proxy) -> None:
    r, ask, report = proxy(lapse_ms=50)
    outcomes = record_outcomes(r)
    assert ask(tamarind_request="p1").status == 200
    r.ingress.steady._base_ms += 10_000  # past the deadline and the lapse time
    wait_for(lambda: outcomes)
    assert outcomes == [Outcome.CANCELLED] and not r.ingress.core.open_exchanges
    assert msgspec.json.decode(report(request="p1", status=200, elapsed_ms=5.0).body) == {"late": 1}
    slowness = [s.value for b in r.ingress.core.gateway.backends.values() for s in b.slowness]
    assert set(slowness) == {1.0}


def test_repeated_sub_request_is_counted_once(proxy) -> None:
    r, ask, _ = proxy()
    first, again = ask(x_request_id="abc"), ask(x_request_id="abc")
    assert first.headers == again.headers
    assert r.ingress.core.counts["arrived"] == 1
    other = ask(token="small", x_request_id="abc")  # the same name from another customer
    assert other.status == 200 and other.headers["tamarind-request"] != "abc"
    assert r.ingress.core.counts["arrived"] == 2
    ask(x_request_id="abc")
    assert r.ingress.core.counts["arrived"] == 2
    ask(x_request_id="abc")  # the limit of repeats is reached: counted as a new request
    assert r.ingress.core.counts["arrived"] == 3


def test_client_chosen_name_does_not_identify_a_repeat(proxy) -> None:
    r, ask, _ = proxy()
    found = [ask(tamarind_request="mine").headers["tamarind-request"] for _ in range(3)]
    assert found[0] == "mine" and len(set(found)) == 3 and r.ingress.core.counts["arrived"] == 3


def test_both_fronts_share_one_quota(proxy) -> None:
    r, ask, _ = proxy()
    statuses = [ask(token="small").status if i % 2 else r.ask(token="small").status for i in range(14)]
    assert 2 <= statuses.count(200) < 14 and statuses.count(429) >= 7
    assert len(r.ingress.core.gateway.customers) == 1


@pytest.mark.parametrize(
    ("change", "status"),
    [
        ({"token": "bad"}, 401),
        ({"uri": "/nowhere"}, 404),
        ({"method": "get"}, 400),
        ({"uri": "/quotes/../x"}, 400),
        ({"method": "POST", "uri": "/switches", "token": "noscope"}, 403),
        ({"x_forwarded_for": "who"}, 400),
    ],
)
def test_invalid_sub_request_is_rejected(proxy, change, status) -> None:
    r, ask, _ = proxy()
    assert ask(**change).status == status
    assert r.ingress.core.counts["arrived"] == 0


def test_untrusted_peer_is_rejected(proxy) -> None:
    r, ask, report = proxy(trusted="10.0.0.0/8")
    assert ask(x_forwarded_for="10.0.0.1").status == 403
    assert report(request="p1", status=200, elapsed_ms=1.0).status == 403
    assert r.ingress.core.counts["arrived"] == 0


@pytest.mark.parametrize(
    "fields",
    [
        {},
        {"request": "a"},
        {"request": "a", "status": 9, "elapsed_ms": 1},
        {"request": "a", "status": 200, "elapsed_ms": -1},
        {"request": 7, "status": 200},
    ],
)
def test_malformed_report_is_rejected(proxy, fields) -> None:
    _, _, report = proxy()
    assert report(**fields).status == 400
