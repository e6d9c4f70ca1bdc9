"""The platform's protocol, byte for byte, without sockets."""

from __future__ import annotations

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st
from hypothesis.strategies import binary

from tamarindfold.counter.pipeline import Pipeline
from tamarindfold.ds.backoff import Backoff
from tamarindfold.http1.requests import Rejected, RequestReader
from tamarindfold.http1.responses import BadResponse, ResponseReader
from tamarindfold.interface import BackendState, Count, ListKind, Outcome
from tamarindfold.platform import backends, configuration, words
from tamarindfold.platform.counter import AddGet
from tamarindfold.platform.registry import AddressBook, WatchReader
from tamarindfold.platform.requests import Admission

SETTINGS = {
    "balancers": 4,
    "index": 1,
    "quantum": 2.0,
    "zones": ["a", "b"],
    "machine_types": ["m1", "m2"],
    "categories": [
        {"name": "quote", "aim": 1500.0, "hard_limit": 6000.0, "points": 3.0, "idempotency": "pure"},
        {"name": "switch", "aim": 3000.0, "hard_limit": 8000.0, "points": 9.0, "idempotency": "side_effect"},
    ],
    "plans": [{"name": "team", "per_second": 2.0, "peak_units": 8.0}],
    "permissions": {"most_tries": 3, "cancel": True, "retry_after": True, "conn_idle": 30000.0},
    "safety": {
        "start_capacity": 0.2,
        "cold": 18000.0,
        "fall_multiple": 2.5,
        "overload_for": 3000.0,
        "stop_sending_within": 250.0,
    },
    "extra": {"has_counter": True, "count_wait": 30.0, "units_top": 4},
    "telemetry": {"via": "inline", "fields": ["backlog"]},
    "unknown": [{"x": None}],
}
CONFIG = {
    "name": "n3",
    "listen": "127.0.0.1:9000",
    "discovery": "127.0.0.1:8500",
    "counter": "127.0.0.1:6400",
    "seed": "8c1f",
    "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256},
    "settings": SETTINGS,
    "more": 1,
}
GOOD = {
    "X-Call-Id": "9b1f03aa5c7e2d41",
    "X-Call-Class": "quote",
    "X-Contract": "team",
    "X-Budget": "0.480",
    "X-Metering": "units=2,spread=3,first=1",
}


def config(**changes) -> bytes:
    return msgspec.json.encode({k: v for k, v in (CONFIG | changes).items() if v is not None})


def ask(
    method: str = "GET",
    target: str = "/api?key=00000000b4d65521",
    body: bytes = b"",
    extra: str = "",
    **changes: str | None,
):
    headers = GOOD | {name.replace("_", "-"): value for name, value in changes.items()}
    lines = [
        f"{method} {target} HTTP/1.1",
        "Host: origin.svc",
        *(f"{k}: {v}" for k, v in headers.items() if v is not None),
    ]
    if body:
        lines.append(f"Content-Length: {len(body)}")
    reader = RequestReader(16_384, 64, 65_536)
    reader.feed("\r\n".join(lines).encode() + extra.encode() + b"\r\n\r\n" + body)
    return Admission(configuration.read(config()).settings).read(reader.ready.popleft())


def test_the_configuration_is_read_with_the_simulators_names() -> None:
    read = configuration.read(config())
    assert (read.listen, read.counter, read.seed, read.sockets) == (
        ("127.0.0.1", 9000),
        ("127.0.0.1", 6400),
        0x8C1F,
        256,
    )
    assert read.settings.gateways == 4 and read.settings.classes[1].worth == 9.0
    assert (
        read.settings.report_fields == ("backlog",)
        and read.zones == ("a", "b")
        and read.conn_idle_ms == 30_000
    )


@pytest.mark.parametrize(
    ("changes", "named"),
    [
        ({"listen": None}, "listen"),
        ({"listen": "here"}, "listen"),
        ({"discovery": 5}, "discovery"),
        ({"counter": "1.2.3.4:0"}, "counter"),
        ({"seed": "xyz"}, "seed"),
        ({"limits": {}}, "sockets"),
        ({"limits": {"sockets": 10}}, "sockets"),
        ({"settings": None}, "settings"),
        ({"settings": SETTINGS | {"balancers": "many"}}, "balancers"),
        ({"settings": SETTINGS | {"plans": []}}, "plans"),
    ],
)
def test_a_bad_configuration_names_what_is_wrong(changes, named) -> None:
    with pytest.raises(ValueError, match=named):
        configuration.read(config(**changes))


def test_a_configuration_that_is_no_json_object_is_refused() -> None:
    for text in (b"", b"{", b"[]", b"\xff"):
        with pytest.raises(ValueError, match="JSON"):
            configuration.addresses(text)


def test_a_good_request_is_read() -> None:
    asked = ask()
    assert (asked.name, asked.cls, asked.customer, asked.plan) == (b"9b1f03aa5c7e2d41", 0, 0xB4D65521, 0)
    assert (asked.units, asked.width, asked.first, asked.time_left_ms, asked.retry) == (
        2.0,
        3,
        1,
        480.0,
        False,
    )
    assert ask(X_Again="1").retry and ask(X_Budget="99").time_left_ms == 6000
    assert ask("POST", body=b"x", X_Call_Class="switch").cls == 1


@pytest.mark.parametrize(
    "changes",
    [
        {"X_Call_Id": None},
        {"X_Call_Id": "a b"},
        {"X_Call_Id": "x" * 65},
        {"X_Call_Class": "odd"},
        {"X_Contract": None},
        {"X_Budget": None},
        {"X_Budget": "nan"},
        {"X_Budget": "inf"},
        {"X_Budget": "-1"},
        {"X_Budget": "0"},
        {"X_Budget": "1_0"},
        {"X_Budget": "1e3"},
        {"X_Budget": "\u0661"},
        {"X_Again": "yes"},
        {"X_Metering": None},
        {"X_Metering": "units=nan,spread=3,first=1"},
        {"X_Metering": "units=5,spread=3,first=1"},
        {"X_Metering": "units=0,spread=3,first=1"},
        {"X_Metering": "units=-1,spread=3,first=1"},
        {"X_Metering": "units=2,spread=5,first=1"},
        {"X_Metering": "units=2,spread=0,first=1"},
        {"X_Metering": "units=2,spread=3,first=4"},
        {"X_Metering": "units=2,spread=3"},
        {"X_Metering": "units=2,units=2,spread=3,first=1"},
        {"X_Metering": "units=2,spread=1.5,first=1"},
        {"method": "POST"},
        {"method": "PUT"},
        {"body": b"x"},
        {"X_Call_Class": "switch"},
        {"target": "/api"},
        {"target": "/api?key=b4d65521"},
        {"target": "/api?key=0000000200000000"},
        {"target": "/api?key=00000000b4d65521&key=00000000b4d65521"},
        {"target": "/api?key=00000000b4d6552g"},
        {"extra": "\r\nX-Call-Id: 9b1f03aa5c7e2d41"},
        {"extra": "\r\nx-budget: 1"},
    ],
)
def test_a_bad_request_is_turned_away_and_never_as_a_refusal(changes) -> None:
    with pytest.raises(Rejected) as caught:
        ask(**changes)
    assert words.rejected(caught.value.status, caught.value.detail, False)[9:12] not in (
        b"429",
        b"503",
        b"200",
    )


@pytest.mark.parametrize(
    "framing",
    [
        "Content-Length: 4\r\nTransfer-Encoding: chunked",
        "Transfer-Encoding: chunked\r\nContent-Length: 4",
        "Transfer-Encoding: chunked",
        "Content-Length: 4\r\nContent-Length: 5",
        "Content-Length: -4",
        "Content-Length: 4, 5",
        "Content-Length: 99999999999999999999",
        "Content-Length: 60000000",
        "Transfer-Encoding: gzip, chunked",
        "Content-Length: +4",
        "Content-Length: 4x",
    ],
)
def test_framing_that_can_be_read_in_two_ways_goes_no_further(framing) -> None:
    reader = RequestReader(16_384, 64, 65_536)
    head = "POST /api?key=00000000b4d65521 HTTP/1.1\r\nHost: o\r\n" + "".join(
        f"{k}: {v}\r\n" for k, v in (GOOD | {"X-Call-Class": "switch"}).items()
    )
    with pytest.raises(Rejected):
        reader.feed(f"{head}{framing}\r\n\r\n0\r\n\r\n".encode())
        Admission(configuration.read(config()).settings).read(reader.ready.popleft())


@given(st.dictionaries(st.sampled_from(list(GOOD)), binary(max_size=40)), binary(max_size=60))
def test_whatever_the_headers_hold_they_are_read_or_turned_away(headers, target) -> None:
    from tamarindfold.http1.requests import Request

    pairs = [(k.lower().encode(), headers.get(k, v.encode())) for k, v in GOOD.items()]
    request = Request("GET", target or b"/api?key=00000000b4d65521", pairs, b"", True)
    try:
        asked = Admission(configuration.read(config()).settings).read(request)
    except Rejected as fault:
        assert 400 <= fault.status < 500
    else:
        assert 0 < asked.units <= 4 and 0 < asked.time_left_ms <= 6000 and 0 <= asked.customer < 1 << 33


def test_answers_are_worded_for_the_platform() -> None:
    assert words.served(b"abc", True) == b"HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nabc"
    assert b"429" in words.refused(True, 123.4, True) and b"retry-after: 0.123\r\n" in words.refused(
        True, 123.4, True
    )
    assert b"503" in words.refused(False, None, False) and b"retry-after" not in words.refused(
        False, None, False
    )
    assert (words.failed(True, True)[9:12], words.failed(False, True)[9:12]) == (b"504", b"502")
    assert (words.ready("", True)[9:12], words.ready("no list", True)[9:12]) == (b"200", b"503")


@pytest.mark.parametrize(
    ("answer", "outcome"),
    [
        (b"200 OK\r\n", Outcome.OK),
        (b"500 X\r\n", Outcome.ERROR),
        (b"503 X\r\n", Outcome.ERROR),
        (b"503 X\r\nX-Rejected: 1\r\n", Outcome.FULL),
        (b"504 X\r\nX-Rejected: 1\r\n", Outcome.FULL),
        (b"500 X\r\nX-Rejected: 1\r\n", Outcome.ERROR),
        (b"404 X\r\n", Outcome.ERROR),
        (b"204 X\r\n", Outcome.ERROR),
    ],
)
def test_what_an_answer_means(answer, outcome) -> None:
    reader = ResponseReader(1000)
    reader.feed(b"HTTP/1.1 " + answer + b"Content-Length: 0\r\n\r\n")
    assert reader.complete and backends.outcome(reader) is outcome


@pytest.mark.parametrize(
    ("report", "read"),
    [
        (b"queue=2,inflight=7", (7.0, 2.0)),
        (b"inflight=7", ()),
        (b"inflight=x,queue=2", ()),
        (b"inflight=nan,queue=2", ()),
        (b"\xff", ()),
    ],
)
def test_a_load_report_is_read_in_the_settings_order_or_not_at_all(report, read) -> None:
    reader = ResponseReader(1000)
    reader.feed(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Load-Report: " + report + b"\r\n\r\n")
    assert backends.report(reader, ("inflight", "queue")) == read


@given(binary(max_size=300))
def test_any_bytes_are_an_answer_or_none(data) -> None:
    reader = ResponseReader(200)
    try:
        reader.feed(b"HTTP/1.1 200 OK\r\n" + data)
    except BadResponse:
        return
    assert len(reader.body) <= 200


@pytest.mark.parametrize(
    "start", [b"HTTP/1.1 200 OK\r\nX-Long: ", b"HTTP/1.1 103 Early\r\n\r\nHTTP/1.1 200 OK\r\nX-Long: "]
)
def test_a_head_of_one_line_without_an_end_is_bounded(start) -> None:
    reader = ResponseReader(1 << 20)
    reader.feed(start)
    with pytest.raises(BadResponse, match="head"):
        for _ in range(40):
            reader.feed(b"x" * 1024)


def test_an_attempt_passes_on_what_must_be_unchanged() -> None:
    data = backends.attempt("POST", b"/api?key=00000000b4d65521", b"9b1f", b"body", 480.4)
    head, _, body = data.partition(b"\r\n\r\n")
    lines = head.split(b"\r\n")
    assert lines[0] == b"POST /api?key=00000000b4d65521 HTTP/1.1" and body == b"body"
    assert {b"x-call-id: 9b1f", b"x-budget: 0.480", b"content-length: 4"} <= set(lines)


# ---- registry


def line(generation: int, *instances: dict, reset: bool = False) -> bytes:
    return msgspec.json.encode(
        {"generation": generation, "reset": reset, "instances": list(instances), "more": {}}
    )


def one(name: str, port: int = 9000, **changes) -> dict:
    return {
        "instanceId": name,
        "hostPort": f"127.0.0.1:{port}",
        "zone": "b",
        "machineType": "m2",
        "cell": 3,
        "lifecycle": "active",
        "weight": 1.0,
        "startedAtMs": 0,
        "odd": [],
    } | changes


def book() -> AddressBook:
    return AddressBook(("a", "b"), ("m1", "m2"))


def test_a_list_and_its_changes_are_told() -> None:
    b = book()
    update, moved = b.take(line(41, one("s-1"), one("s-2", 9001), reset=True), ListKind.CACHED)
    assert (update.kind, update.version, moved, b.generation) == (ListKind.CACHED, 41, [], 41)
    entry = update.entries[0]
    assert (entry.zone, entry.kind, entry.cell, entry.state) == (1, 1, 3, BackendState.READY)
    assert b.address(entry.backend) == ("127.0.0.1", 9000)
    update, moved = b.take(
        line(42, one("s-1", lifecycle="leaving"), {"instanceId": "s-2", "lifecycle": "left"})
    )
    assert [e.state for e in update.entries] == [BackendState.DRAINING, BackendState.GONE]
    assert update.kind is ListKind.CHANGES and moved == [update.entries[1].backend] and len(b.entries) == 1


def test_numbers_are_the_same_everywhere_and_connections_go_with_the_start_and_the_address() -> None:
    first, second = book(), book()
    (a,) = first.take(line(1, one("s-1"), reset=True))[0].entries
    second.take(line(1, one("s-9"), reset=True))
    (c,) = second.take(line(2, one("s-1")))[0].entries
    assert a.backend == c.backend
    for change in ({"startedAtMs": 5}, {"hostPort": "127.0.0.2:9000", "startedAtMs": 5}):
        assert first.take(line(3, one("s-1", **change)))[1] == [a.backend]
    assert first.take(line(4, one("s-1", hostPort="127.0.0.2:9000", startedAtMs=5)))[1] == []


def test_two_ids_of_one_number_are_kept_apart(monkeypatch) -> None:
    class Same:
        def __init__(self, *_args, **_more) -> None: ...

        def digest(self) -> bytes:
            return b"\0\0\0\0\0\7"

    monkeypatch.setattr("tamarindfold.platform.registry.blake2b", Same)
    b = book()
    entries = b.take(line(1, one("s-1"), one("s-2", 9001), reset=True))[0].entries
    assert [e.backend for e in entries] == [7, 8]


def test_the_book_does_not_grow_with_those_that_come_and_go() -> None:
    b = book()
    for n in range(500):
        b.take(
            line(n, one(f"s-{n}"), reset=True)
            if n % 2
            else line(n, one(f"s-{n}"), one(f"s-{n - 1}", lifecycle="left"))
        )
    assert len(b.entries) <= 2 and len(b.numbers) <= 2


@pytest.mark.parametrize(
    "bad",
    [
        b"{",
        b"[]",
        line(1, {"lifecycle": "active"}),
        line(1, one("s", hostPort="x")),
        line(1, one("s", weight=-1)),
        b"\xff",
    ],
)
def test_a_bad_line_leaves_the_book_as_it_was(bad) -> None:
    b = book()
    b.take(line(5, one("s-1"), reset=True))
    with pytest.raises(ValueError, match="registry"):
        b.take(bad)
    assert (b.generation, len(b.entries)) == (5, 1)


@given(st.lists(st.integers(1, 40), max_size=6))
def test_a_watch_is_read_however_it_is_cut(cuts) -> None:
    text = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + b"".join(
        b"%x\r\n%s\r\n" % (len(part), part) for part in (b'{"a":1}\n\n{"b"', b":2}\n", b"\n", b'{"c":3}\n')
    )
    reader, out, at = WatchReader(), [], 0
    for cut in [*cuts, len(text)]:
        out += reader.feed(text[at : at + cut])
        at += cut
    assert out == [b'{"a":1}', b'{"b":2}', b'{"c":3}'] and not reader.ended


@pytest.mark.parametrize("answer", [b"HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n", b"what is this\r\n\r\n"])
def test_an_answer_that_is_no_watch_is_an_error(answer) -> None:
    with pytest.raises(ValueError, match="registry"):
        WatchReader().feed(answer)


# ---- counter


def test_a_call_is_one_command_with_a_decimal_amount_and_a_bounded_life() -> None:
    assert AddGet().call(Count(255, -2.5, 99_000)) == (
        b"*4\r\n$6\r\nADDGET\r\n$2\r\nff\r\n$12\r\n-2.500000000\r\n$5\r\n60000\r\n"
    )
    assert b"$1\r\n1\r\n" in AddGet().call(Count(1, 1e-30, 0.2))
    assert len(b"%x" % ((1 << 64) * 1000 + 5)) <= 64


@pytest.mark.parametrize(
    ("reply", "outcome", "spoilt"),
    [
        (b"3.5", Outcome.OK, False),
        (Exception("BUSY later"), Outcome.FULL, False),
        (Exception("ERR no"), Outcome.FULL, False),
        (Exception("WHAT"), Outcome.ERROR, True),
        (b"noise", Outcome.ERROR, True),
        (b"nan", Outcome.ERROR, True),
    ],
)
def test_what_a_reply_proves(reply, outcome, spoilt) -> None:
    p = Pipeline(30, 10, AddGet())
    p.connected = True
    p.call(0, Count(1, 1, 1000))
    (answer,) = p.replies(5, [reply])
    assert (answer.outcome, p.spoilt) == (outcome, spoilt)


def test_what_keeps_a_connection_open_takes_nobodys_reply() -> None:
    p = Pipeline(30, 10, AddGet())
    p.connected = True
    assert p.ping(0) == b"*1\r\n$4\r\nPING\r\n"
    p.call(1, Count(7, 1, 1000))
    assert [(a.name, a.total) for a in p.replies(2, [b"PONG", b"4"])] == [(7, 4.0)]
    assert p.dropped == 0 and not p.calls


def test_backoff_begins_at_once_doubles_and_is_bounded() -> None:
    b = Backoff(0.1, 0.5)
    assert [b.failed() for _ in range(6)] == [0.0, 0.1, 0.2, 0.4, 0.5, 0.5]
    b.well()
    assert b.failed() == 0.0
