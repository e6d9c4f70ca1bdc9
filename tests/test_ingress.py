"""End-to-end requests through the gateway over loopback sockets."""

from __future__ import annotations

import pytest


def test_quote_is_forwarded_and_served(rig) -> None:
    r = rig()
    answer = r.ask("/quotes?plan=winter", tamarind_request="q-1", tamarind_units="2")
    assert (answer.status, answer.outcome, answer.headers["tamarind-request"]) == (200, "served", "q-1")
    (received,) = r.entries("received")
    assert (received["try"], received["units"], received["cls"], received["path"]) == (
        "q-1",
        2,
        "quote",
        "/quotes?plan=winter",
    )


def test_keep_alive_connection_serves_consecutive_requests(rig) -> None:
    r = rig()
    sock = r.connect()
    assert [r.ask(sock=sock).status for _ in range(5)] == [200] * 5
    assert r.ingress.front.counts["connections"] == 1


@pytest.mark.parametrize(
    ("token", "status", "challenge"),
    [
        (None, 401, 'Bearer realm="tamarindfold"'),
        ("unheard-of", 401, 'error="invalid_token"'),
        ("two words", 400, 'error="invalid_request"'),
        ("noscope", 403, 'error="insufficient_scope"'),
    ],
)
def test_bad_credentials_get_an_rfc_6750_challenge(rig, token, status, challenge) -> None:
    r = rig()
    answer = r.ask("/switches", "POST", token)
    assert answer.status == status
    assert challenge in answer.headers["www-authenticate"]
    assert not r.entries("received")


def test_token_without_a_plan_is_forbidden(rig) -> None:
    r = rig()
    assert r.ask(token="noplan").status == 403
    assert r.ask(token="noplan").problem["detail"] == "the token names no plan that is known here"


def test_request_over_quota_is_refused_with_retry_after(rig) -> None:
    r = rig()
    answers = [r.ask(token="small") for _ in range(12)]
    refused = [a for a in answers if a.status == 429]
    assert 5 <= len(refused) < 12
    for answer in refused:
        wait = int(answer.headers["tamarind-retry-after-ms"])
        assert wait > 0
        assert int(answer.headers["retry-after"]) == -(-wait // 1000)
        assert answer.problem["retry_after_ms"] == wait
        assert answer.headers["content-type"] == "application/problem+json"
    assert len(r.entries("received")) == 12 - len(refused)


@pytest.mark.parametrize(
    ("path", "method", "headers", "status"),
    [
        ("/nowhere", "GET", {}, 404),
        ("/quotes", "DELETE", {}, 405),
        ("/quotes/../switches", "GET", {}, 400),
        ("/quotes/%2e%2e/switches", "GET", {}, 400),
        ("/quotes//x", "GET", {}, 400),
        ("/bookings", "POST", {}, 400),
        ("/quotes", "GET", {"tamarind_units": "9"}, 400),
        ("/quotes", "GET", {"tamarind_units": "0"}, 400),
        ("/quotes", "GET", {"tamarind_units": "nan"}, 400),
        ("/quotes", "GET", {"tamarind_units": "-1"}, 400),
        ("/quotes", "GET", {"tamarind_time_left": "soon"}, 400),
        ("/quotes", "GET", {"tamarind_retry": "2"}, 400),
        ("/quotes", "GET", {"tamarind_request": "a b"}, 400),
        ("/quotes", "GET", {"tamarind_request": "x" * 65}, 400),
    ],
)
def test_malformed_request_gets_a_4xx_and_is_not_forwarded(rig, path, method, headers, status) -> None:
    r = rig()
    answer = r.ask(path, method, **headers)
    assert answer.status == status
    assert answer.problem["detail"]
    assert not r.entries("received")


def test_token_and_hop_by_hop_headers_are_not_forwarded(rig) -> None:
    from tamarindfold.ingress.admission import forwardable_headers

    kept = forwardable_headers(
        [
            (b"authorization", b"Bearer x"),
            (b"connection", b"close, x-mine"),
            (b"x-mine", b"1"),
            (b"te", b"trailers"),
            (b"tamarind-customer", b"7"),
            (b"accept", b"*/*"),
        ]
    )
    assert kept == [(b"accept", b"*/*")]


def test_head_response_leaves_the_connection_usable(rig) -> None:
    r = rig()
    sock = r.connect()
    answer = r.ask(method="HEAD", sock=sock)
    assert answer.status == 200
    # a body after the HEAD response would be read as the start of this one
    assert r.ask(sock=sock).status == 200


def test_stopping_gateway_answers_open_requests_and_closes_idle_connections(rig) -> None:
    import gevent

    r = rig(server={"default_work_ms": 300.0, "sigma": 0.0})
    sock = r.connect()
    asked = gevent.spawn(r.ask, sock=sock)
    idle = r.connect()
    from rig import wait_for

    wait_for(lambda: r.entries("received") and r.ingress.front.idle)
    assert r.ingress.stop()
    answer = asked.get(timeout=10)
    assert (answer.status, answer.headers["connection"]) == (200, "close")
    assert idle.recv(1) == b""
    with pytest.raises(OSError):
        r.connect()


def test_request_rejected_by_full_servers_is_retried_elsewhere_and_runs_once(rig) -> None:
    from tamarindfold.standins.base import Fault

    r = rig(servers=3, faults={0: [Fault(kind="full")], 1: [Fault(kind="full")]})
    answers = [r.ask("/switches", "POST") for _ in range(12)]
    assert {a.status for a in answers} <= {200, 503}
    assert sum(a.status == 200 for a in answers) >= 6
    ran = [e["try"] for e in r.entries("ran")]
    assert len(ran) == len(set(ran)) == sum(a.status == 200 for a in answers)
