"""The platform's protocols byte by byte, without sockets."""

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
from tamarindfold.platform import backends, configuration, responses
from tamarindfold.platform.counter import AddGet
from tamarindfold.platform.registry import BackendDirectory, WatchReader
from tamarindfold.platform.requests import CallParser

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
VALID_HEADERS = {
    "X-Call-Id": "9b1f03aa5c7e2d41",
    "X-Call-Class": "quote",
    "X-Contract": "team",
    "X-Budget": "0.480",
    "X-Metering": "units=2,spread=3,first=1",
}


def config(**changes) -> bytes:
    return msgspec.json.encode({k: v for k, v in (CONFIG | changes).items() if v is not None})


def parse(
    method: str = "GET",
    target: str = "/api?key=00000000b4d65521",
    body: bytes = b"",
    extra: str = "",
    **changes: str | None,
):
    headers = VALID_HEADERS | {name.replace("_", "-"): value for name, value in changes.items()}
    lines = [
        f"{method} {target} HTTP/1.1",
        "Host: origin.svc",
        *(f"{k}: {v}" for k, v in headers.items() if v is not None),
    ]
    if body:
        lines.append(f"Content-Length: {len(body)}")
    reader = RequestReader(16_384, 64, 65_536)
    reader.feed("\r\n".join(lines).encode() + extra.encode() + b"\r\n\r\n" + body)
    return CallParser(configuration.read(config()).settings).parse(reader.ready.popleft())


def test_configuration_uses_the_simulators_settings_names() -> None:
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
    ("changes", "key"),
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
def test_invalid_configuration_error_names_the_key(changes, key) -> None:
    with pytest.raises(ValueError, match=key):
        configuration.read(config(**changes))


def test_configuration_must_be_a_json_object() -> None:
    for text in (b"", b"{", b"[]", b"\xff"):
        with pytest.raises(ValueError, match="JSON"):
            configuration.addresses(text)


def test_valid_request_is_parsed() -> None:
    call = parse()
    assert (call.call_id, call.cls, call.customer, call.plan) == (b"9b1f03aa5c7e2d41", 0, 0xB4D65521, 0)
    assert (call.units, call.width, call.first_gateway, call.time_left_ms, call.retry) == (
        2.0,
        3,
        1,
        480.0,
        False,
    )
    assert parse(X_Again="1").retry and parse(X_Budget="99").time_left_ms == 6000
    assert parse("POST", body=b"x", X_Call_Class="switch").cls == 1


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
def test_invalid_request_is_rejected_with_a_status_that_is_no_refusal(changes) -> None:
    with pytest.raises(Rejected) as caught:
        parse(**changes)
    assert responses.rejected(caught.value.status, caught.value.detail, False)[9:12] not in (
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
def test_ambiguous_framing_is_rejected(framing) -> None:
    reader = RequestReader(16_384, 64, 65_536)
    head = "POST /api?key=00000000b4d65521 HTTP/1.1\r\nHost: o\r\n" + "".join(
        f"{k}: {v}\r\n" for k, v in (VALID_HEADERS | {"X-Call-Class": "switch"}).items()
    )
    with pytest.raises(Rejected):
        reader.feed(f"{head}{framing}\r\n\r\n0\r\n\r\n".encode())
        CallParser(configuration.read(config()).settings).parse(reader.ready.popleft())


@given(st.dictionaries(st.sampled_from(list(VALID_HEADERS)), binary(max_size=40)), binary(max_size=60))
def test_arbitrary_headers_are_parsed_or_rejected(headers, target) -> None:
    from tamarindfold.http1.requests import Request

    pairs = [(k.lower().encode(), headers.get(k, v.encode())) for k, v in VALID_HEADERS.items()]
    request = Request("GET", target or b"/api?key=00000000b4d65521", pairs, b"", True)
    try:
        call = CallParser(configuration.read(config()).settings).parse(request)
    except Rejected as fault:
        assert 400 <= fault.status < 500
    else:
        assert 0 < call.units <= 4 and 0 < call.time_left_ms <= 6000 and 0 <= call.customer < 1 << 33


def test_responses_to_clients() -> None:
    assert responses.served(b"abc", True) == b"HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nabc"
    assert b"429" in responses.refused(True, 123.4, True) and b"retry-after: 0.123\r\n" in responses.refused(
        True, 123.4, True
    )
    assert b"503" in responses.refused(False, None, False) and b"retry-after" not in responses.refused(
        False, None, False
    )
    assert (responses.failed(True, True)[9:12], responses.failed(False, True)[9:12]) == (b"504", b"502")
    assert (responses.ready("", True)[9:12], responses.ready("no list", True)[9:12]) == (b"200", b"503")


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
def test_outcome_of_backend_answers(answer, outcome) -> None:
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
def test_load_report_is_read_in_settings_order_or_ignored(report, read) -> None:
    reader = ResponseReader(1000)
    reader.feed(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Load-Report: " + report + b"\r\n\r\n")
    assert backends.report(reader, ("inflight", "queue")) == read


@given(binary(max_size=300))
def test_arbitrary_bytes_are_an_answer_or_an_error(data) -> None:
    reader = ResponseReader(200)
    try:
        reader.feed(b"HTTP/1.1 200 OK\r\n" + data)
    except BadResponse:
        return
    assert len(reader.body) <= 200


@pytest.mark.parametrize(
    "start", [b"HTTP/1.1 200 OK\r\nX-Long: ", b"HTTP/1.1 103 Early\r\n\r\nHTTP/1.1 200 OK\r\nX-Long: "]
)
def test_unterminated_header_line_is_bounded(start) -> None:
    reader = ResponseReader(1 << 20)
    reader.feed(start)
    with pytest.raises(BadResponse, match="head"):
        for _ in range(40):
            reader.feed(b"x" * 1024)


def test_attempt_forwards_target_body_and_call_id_unchanged() -> None:
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


def instance(name: str, port: int = 9000, **changes) -> dict:
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


def new_directory() -> BackendDirectory:
    return BackendDirectory(("a", "b"), ("m1", "m2"))


def test_full_list_and_changes_are_applied() -> None:
    directory = new_directory()
    update, moved = directory.apply(
        line(41, instance("s-1"), instance("s-2", 9001), reset=True), ListKind.CACHED
    )
    assert (update.kind, update.version, moved, directory.generation) == (ListKind.CACHED, 41, [], 41)
    entry = update.entries[0]
    assert (entry.zone, entry.kind, entry.cell, entry.state) == (1, 1, 3, BackendState.READY)
    assert directory.address(entry.backend) == ("127.0.0.1", 9000)
    update, moved = directory.apply(
        line(42, instance("s-1", lifecycle="leaving"), {"instanceId": "s-2", "lifecycle": "left"})
    )
    assert [e.state for e in update.entries] == [BackendState.DRAINING, BackendState.GONE]
    assert (
        update.kind is ListKind.CHANGES
        and moved == [update.entries[1].backend]
        and len(directory.entries) == 1
    )


def test_numbers_are_equal_at_all_ingresses_and_restart_or_move_drops_connections() -> None:
    first, second = new_directory(), new_directory()
    (a,) = first.apply(line(1, instance("s-1"), reset=True))[0].entries
    second.apply(line(1, instance("s-9"), reset=True))
    (c,) = second.apply(line(2, instance("s-1")))[0].entries
    assert a.backend == c.backend
    for change in ({"startedAtMs": 5}, {"hostPort": "127.0.0.2:9000", "startedAtMs": 5}):
        assert first.apply(line(3, instance("s-1", **change)))[1] == [a.backend]
    assert first.apply(line(4, instance("s-1", hostPort="127.0.0.2:9000", startedAtMs=5)))[1] == []


def test_ids_with_equal_hashes_get_different_numbers(monkeypatch) -> None:
    class CollidingHash:
        def __init__(self, *_args, **_options) -> None: ...

        def digest(self) -> bytes:
            return b"\0\0\0\0\0\7"

    monkeypatch.setattr("tamarindfold.platform.registry.blake2b", CollidingHash)
    directory = new_directory()
    entries = directory.apply(line(1, instance("s-1"), instance("s-2", 9001), reset=True))[0].entries
    assert [e.backend for e in entries] == [7, 8]


def test_directory_does_not_grow_with_replaced_backends() -> None:
    directory = new_directory()
    for n in range(500):
        directory.apply(
            line(n, instance(f"s-{n}"), reset=True)
            if n % 2
            else line(n, instance(f"s-{n}"), instance(f"s-{n - 1}", lifecycle="left"))
        )
    assert len(directory.entries) <= 2 and len(directory.numbers) <= 2


@pytest.mark.parametrize(
    "bad",
    [
        b"{",
        b"[]",
        line(1, {"lifecycle": "active"}),
        line(1, instance("s", hostPort="x")),
        line(1, instance("s", weight=-1)),
        b"\xff",
    ],
)
def test_invalid_line_leaves_the_directory_unchanged(bad) -> None:
    directory = new_directory()
    directory.apply(line(5, instance("s-1"), reset=True))
    with pytest.raises(ValueError, match="registry"):
        directory.apply(bad)
    assert (directory.generation, len(directory.entries)) == (5, 1)


@given(st.lists(st.integers(1, 40), max_size=6))
def test_watch_is_read_with_any_segmentation(cuts) -> None:
    text = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + b"".join(
        b"%x\r\n%s\r\n" % (len(part), part) for part in (b'{"a":1}\n\n{"b"', b":2}\n", b"\n", b'{"c":3}\n')
    )
    reader, out, at = WatchReader(), [], 0
    for cut in [*cuts, len(text)]:
        out += reader.feed(text[at : at + cut])
        at += cut
    assert out == [b'{"a":1}', b'{"b":2}', b'{"c":3}'] and not reader.ended


@pytest.mark.parametrize("answer", [b"HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n", b"what is this\r\n\r\n"])
def test_invalid_watch_response_is_an_error(answer) -> None:
    with pytest.raises(ValueError, match="registry"):
        WatchReader().feed(answer)


# ---- counter


def test_call_is_one_command_with_decimal_amount_and_bounded_ttl() -> None:
    assert AddGet().call(Count(255, -2.5, 99_000)) == (
        b"*4\r\n$6\r\nADDGET\r\n$2\r\nff\r\n$12\r\n-2.500000000\r\n$5\r\n60000\r\n"
    )
    assert b"$1\r\n1\r\n" in AddGet().call(Count(1, 1e-30, 0.2))
    assert len(b"%x" % ((1 << 64) * 1000 + 5)) <= 64


@pytest.mark.parametrize(
    ("reply", "outcome", "corrupted"),
    [
        (b"3.5", Outcome.OK, False),
        (Exception("BUSY later"), Outcome.FULL, False),
        (Exception("ERR no"), Outcome.FULL, False),
        (Exception("WHAT"), Outcome.ERROR, True),
        (b"noise", Outcome.ERROR, True),
        (b"nan", Outcome.ERROR, True),
    ],
)
def test_outcome_of_each_kind_of_counter_reply(reply, outcome, corrupted) -> None:
    p = Pipeline(30, 10, AddGet())
    p.connected = True
    p.call(0, Count(1, 1, 1000))
    (answer,) = p.replies(5, [reply])
    assert (answer.outcome, p.corrupted) == (outcome, corrupted)


def test_ping_does_not_take_the_reply_of_a_call() -> None:
    p = Pipeline(30, 10, AddGet())
    p.connected = True
    assert p.ping(0) == b"*1\r\n$4\r\nPING\r\n"
    p.call(1, Count(7, 1, 1000))
    assert [(a.name, a.total) for a in p.replies(2, [b"PONG", b"4"])] == [(7, 4.0)]
    assert p.late_replies == 0 and not p.calls


def test_backoff_starts_at_zero_doubles_and_is_bounded() -> None:
    b = Backoff(0.1, 0.5)
    assert [b.next_delay_s() for _ in range(6)] == [0.0, 0.1, 0.2, 0.4, 0.5, 0.5]
    b.reset()
    assert b.next_delay_s() == 0.0
