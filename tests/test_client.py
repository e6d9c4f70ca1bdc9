"""The client library: its core by examples and properties, its drivers against real gateways."""

from __future__ import annotations

import asyncio
import json
import subprocess
import sys
import threading
import time
from pathlib import Path
from random import Random

import gevent
import httpx
import pytest
from gevent import socket
from gevent.server import StreamServer
from hypothesis import given, settings
from hypothesis import strategies as st
from rig import wait_for

from tamarindfold.client import vectors
from tamarindfold.client.aio import AsyncClient
from tamarindfold.client.blocking import Client
from tamarindfold.client.budget import RetryBudget
from tamarindfold.client.core import (
    Answered,
    Broken,
    Call,
    CallSpec,
    NoToken,
    Outcome,
    Result,
    Rules,
    Send,
    TooLate,
    Unreached,
    Wait,
    Woke,
)
from tamarindfold.client.gateways import Gateways
from tamarindfold.client.jitter import ReconnectSchedule, hash_position
from tamarindfold.client.protocol import DEFAULT_WAIT_MS, MAX_WAIT_MS, wait_ms
from tamarindfold.client.shared import Settings
from tamarindfold.client.tokens import Fetch, Hold, TokenCache, Use
from tamarindfold.standins.base import Fault

ROOT = Path(__file__).parent.parent
REFUSED = {"tamarind-outcome": "refused", "tamarind-retry-after-ms": "1000"}
FAILED = {"tamarind-outcome": "failed"}


def call(
    effect: str = "safe",
    deadline: float = 10_000.0,
    window: float = 3_000.0,
    gateways: int = 2,
    draw=lambda: 0.5,
    spread: float = 0.0,
    budget: float = 10.0,
    tries: int = 4,
) -> Call:
    names = [f"g{i}" for i in range(gateways)]
    return Call(
        Rules(tries),
        CallSpec(effect, deadline, window if effect == "keyed" else 0.0),
        Gateways(names, "me", draw),
        RetryBudget(0.2, budget),
        ReconnectSchedule("me", spread, 200, 5000, draw),
        draw,
    )


# ---- the core


@pytest.mark.parametrize(
    "event", [Broken(), Answered(502, FAILED), Answered(504, FAILED), Answered(500), Answered(503)]
)
def test_unsafe_call_that_may_have_run_is_unknown_and_not_repeated(event) -> None:
    c = call("unsafe")
    assert isinstance(c.start(0), Send)
    result = c.handle(5, event)
    assert isinstance(result, Result) and (result.outcome, result.tries) == (Outcome.UNKNOWN, 1)
    assert c.handle(6, Woke()) is result


def test_unsafe_call_that_was_not_sent_goes_to_another_gateway() -> None:
    c = call("unsafe")
    first = c.start(0)
    pause = c.handle(5, Unreached())
    again = c.handle(pause.until_ms, Woke())
    assert isinstance(again, Send) and again.gateway != first.gateway and not again.retry


@pytest.mark.parametrize("draw", [0.0, 0.5, 0.999])
def test_requested_wait_is_kept_with_at_most_a_tenth_of_jitter(draw) -> None:
    c = call("unsafe", draw=lambda: draw)
    c.start(0)
    pause = c.handle(10, Answered(429, REFUSED))
    assert 1010 <= pause.until_ms <= 1110
    again = c.handle(pause.until_ms, Woke())
    assert again.retry and again.time_left_ms == 10_000 - pause.until_ms


def test_wait_beyond_the_deadline_ends_the_call_at_once() -> None:
    c = call(deadline=900)
    c.start(0)
    assert c.handle(10, Answered(429, REFUSED)) == Result(
        Outcome.REFUSED, "the wait that was told lies beyond the deadline", 1, 1010
    )


def test_keyed_call_is_repeated_only_within_its_window() -> None:
    c = call("keyed", window=200)
    c.start(0)
    assert isinstance(c.handle(10, Broken()), Wait)
    c = call("keyed", window=200)
    c.start(0)
    assert c.handle(250, Broken()).outcome is Outcome.UNKNOWN
    c = call("keyed", window=200)
    c.start(0)
    c.handle(c.handle(10, Broken()).until_ms, Woke())
    assert (
        c.handle(300, Answered(429, {**REFUSED, "tamarind-retry-after-ms": "20000"})).outcome
        is Outcome.UNKNOWN
    )


def test_rejected_token_is_renewed_once() -> None:
    c = call("unsafe")
    assert not c.start(0).fresh_token
    again = c.handle(5, Answered(401, {"tamarind-outcome": "rejected"}))
    assert isinstance(again, Send) and again.fresh_token
    assert c.handle(9, Answered(401, {"tamarind-outcome": "rejected"})).outcome is Outcome.REJECTED


def test_token_that_expires_during_a_wait_is_renewed_once() -> None:
    c = call()
    c.start(0)
    pause = c.handle(5, Answered(429, REFUSED))
    send = c.handle(pause.until_ms, Woke())
    assert send.retry and not send.fresh_token
    send = c.handle(pause.until_ms + 5, Answered(401, {"tamarind-outcome": "rejected"}))
    assert send.retry and send.fresh_token


def test_retry_budget_limits_retries_over_calls() -> None:
    budget, draw = RetryBudget(0.2, 3.0), Random(1).random
    gateways, reconnects = Gateways(["g"], "me", draw), ReconnectSchedule("me", 0, 1, 1, draw)
    tries = 0
    for i in range(50):
        c = Call(Rules(4), CallSpec("safe", 1e9), gateways, budget, reconnects, draw)
        action, now = c.start(i * 1000.0), i * 1000.0
        while not isinstance(action, Result):
            tries += isinstance(action, Send)
            now = action.until_ms if isinstance(action, Wait) else now
            action = c.handle(now, Woke() if isinstance(action, Wait) else Answered(503, FAILED))
    assert 50 + 10 <= tries <= 50 + 3 + 10


def test_failing_gateway_is_ejected_and_returns_after_one_trial() -> None:
    g = Gateways(["a", "b"], "me", lambda: 0.0)
    first = g.order[0]
    for _ in range(3):
        assert g.choose(0.0) == first
        g.record_failure(0.0, first)
    assert g.choose(1.0) == g.order[1]
    assert g.choose(1001.0) == first  # one trial
    assert g.choose(1002.0) == g.order[1]  # no second trial at the same time
    g.record_answer(first)
    assert g.choose(1003.0) == first


@pytest.mark.parametrize(
    ("headers", "wait"),
    [
        ({"retry-after": "2"}, 2000),
        ({"retry-after": "Fri, 15 Jan 2027 08:00:10 GMT"}, 10_000),
        ({"retry-after": "Friday, 15-Jan-27 08:00:10 GMT"}, 10_000),
        ({"retry-after": "Fri Jan 15 08:00:10 2027"}, 10_000),
        ({"retry-after": "Fri, 15 Jan 2027 07:00:00 GMT"}, 0),
        ({"retry-after": "whenever"}, DEFAULT_WAIT_MS),
        ({"retry-after": "1e9"}, DEFAULT_WAIT_MS),
        ({"retry-after": "-1"}, DEFAULT_WAIT_MS),
        ({}, DEFAULT_WAIT_MS),
        ({"retry-after": "9" * 5000}, MAX_WAIT_MS),
        ({"retry-after": "١٢"}, DEFAULT_WAIT_MS),
        ({"tamarind-retry-after-ms": "7", "retry-after": "1"}, 7),
    ],
)
def test_retry_after_as_number_date_invalid_and_huge(headers, wait) -> None:
    assert wait_ms(headers, 1_800_000_000_000.0) == wait


EVENTS = st.sampled_from(
    [
        Unreached(),
        Broken(),
        NoToken(),
        Answered(200),
        Answered(200, {"tamarind-outcome": "served"}),
        Answered(429, REFUSED),
        Answered(503, REFUSED),
        Answered(429, {"retry-after": "9" * 30}),
        Answered(502, FAILED),
        Answered(500),
        Answered(401),
        Answered(404, {"tamarind-outcome": "rejected"}),
    ]
)


@settings(max_examples=400, deadline=None)
@given(
    st.sampled_from(["safe", "keyed", "unsafe"]),
    st.lists(st.tuples(EVENTS, st.integers(0, 3000)), max_size=12),
    st.floats(0, 0.999),
    st.sampled_from([0.0, 5000.0]),
    st.integers(1, 5),
)
def test_in_any_order_of_events_only_repeatable_tries_are_repeated(
    effect, script, chance, spread, max_tries
) -> None:
    c = call(effect, deadline=6000.0, window=1500.0, draw=lambda: chance, spread=spread, tries=max_tries)
    now, action = 0.0, c.start(0.0)
    may_have_run, first, tries, not_before = False, None, 0, 0.0
    for event, elapsed in [*script, *[(Broken(), 10_000)] * 40]:
        while isinstance(action, Wait):
            assert now <= action.until_ms < 6000.0
            now = action.until_ms
            action = c.handle(now, Woke())
        if isinstance(action, Result):
            break
        tries += 1
        first = now if first is None else first
        assert now >= not_before and now < 6000.0 and tries <= max_tries
        assert not may_have_run or effect == "safe" or (effect == "keyed" and now < first + 1500.0)
        now += elapsed
        if isinstance(event, Answered) and event.headers.get("tamarind-outcome") == "refused":
            not_before = now + 1000.0
        may_have_run |= isinstance(event, Broken) or (
            isinstance(event, Answered) and event.status in (500, 502)
        )
        action = c.handle(now, event)
    assert isinstance(action, Result) and action.tries == tries
    if may_have_run and effect != "safe" and action.outcome is not Outcome.SERVED:
        assert action.outcome is Outcome.UNKNOWN


# ---- tokens


def test_token_is_renewed_once_before_it_expires() -> None:
    tokens = TokenCache(lambda: 0.0)
    assert tokens.need(0) == Fetch() and tokens.need(1) == Hold()
    tokens.fetched(10, "a", 100_000)
    assert tokens.need(20) == Use("a")
    assert tokens.need(80_020) == Use("a", True) and tokens.need(80_030) == Use("a")
    tokens.failed(80_040)
    assert tokens.need(80_050) == Use("a")  # no second fetch at once
    assert tokens.need(98_020) == Fetch()  # too close to its expiry to be used
    tokens.fetched(98_030, "b", None)
    tokens.rejected("a")  # the rejection of an earlier try with the old token
    assert tokens.need(98_040) == Use("b")
    tokens.rejected("b")
    assert tokens.need(98_050) == Fetch()
    tokens.failed(98_060)
    assert isinstance(tokens.need(98_061), Hold)


# ---- reconnects after all gateways restart at once, in simulated time


def test_reconnects_are_spread_evenly_and_equally_at_each_restart() -> None:
    def reconnect_times(draw) -> list[float]:
        return [
            ReconnectSchedule(f"till-{i}", 10_000, 200, 30_000, draw).connection_lost(0.0, "g")
            for i in range(2_000)
        ]

    first, second = reconnect_times(Random(1).random), reconnect_times(Random(2).random)
    assert first == second  # the client's own position does not depend on random numbers
    per_100 = [sum(100 * k <= at < 100 * (k + 1) for at in first) for k in range(100)]
    assert max(per_100) < 60 and min(per_100) > 2  # without staggering, one slot would have 2000
    assert 0 <= hash_position("a", "b") < 1


def test_connections_lost_at_once_count_as_one_failure() -> None:
    schedule = ReconnectSchedule("me", 1000, 200, 5000, lambda: 0.5)
    at = schedule.connection_lost(0.0, "g")
    assert schedule.connection_lost(1.0, "g") == at
    later = schedule.connection_lost(at + 1, "g")
    assert later > at + 1
    schedule.connected("g")
    assert schedule.not_before("g") == 0.0


def test_try_carries_the_time_in_which_it_may_be_written_and_a_late_one_is_not_the_gateways_fault() -> None:
    c = call("keyed", deadline=6000.0, window=1500.0)
    assert c.start(0).write_left_ms == 6000.0  # nothing has run yet
    again = c.handle(c.handle(100, Broken()).until_ms, Woke())
    assert again.write_left_ms == 1500.0 - (6000.0 - again.time_left_ms)
    result = c.handle(1500, TooLate())
    assert (result.outcome, result.tries) == (Outcome.UNKNOWN, 2)
    assert not c.gateways.health[again.gateway].failures


# ---- vectors


def test_stored_vectors_match_the_core(tmp_path) -> None:
    for name, data in (("calls", [vectors.make_vector(seed) for seed in range(vectors.VECTOR_COUNT)]),):
        stored = json.loads((ROOT / "clients" / "vectors" / f"{name}.json").read_text())
        assert stored == json.loads(json.dumps(data))
    for vector in stored:
        draws = iter(vector["draws"])
        client = vectors.VectorClient(vector["settings"], lambda draws=draws: next(draws))
        for recorded in vector["calls"]:
            call = client.call(recorded["ask"])
            for step in recorded["steps"]:
                event = step["event"]
                action = (
                    call.start(step["now"])
                    if event is None
                    else call.handle(step["now"], vectors.event_from(event))
                )
                assert vectors.action_json(action) == step["action"]
    for wait in json.loads((ROOT / "clients" / "vectors" / "waits.json").read_text()):
        assert wait_ms(wait["headers"], wait["wall_ms"]) == wait["wait_ms"]


# ---- drivers against a real gateway: they run in threads, because this thread runs the gateway's event loop


def in_thread(work):
    """Run a blocking function in a thread while the event loop runs here; returns its result."""
    out: list = []

    def run() -> None:
        try:
            out.append(work())
        except BaseException as error:
            out.append(error)

    thread = threading.Thread(target=run, daemon=True)
    thread.start()
    with gevent.Timeout(20):
        while thread.is_alive():
            gevent.sleep(0.005)
    if isinstance(out[0], BaseException):
        raise out[0]
    return out[0]


def url(address) -> str:
    return f"http://{address[0]}:{address[1]}"


@pytest.fixture(params=["blocking", "asyncio"])
def driver(request):
    """Makes calls with either driver and returns their replies."""

    def make(client_settings: Settings, *calls: dict) -> list:
        def blocking():
            with Client(client_settings) as client:
                return [client.call(**arguments) for arguments in calls]

        async def loop():
            async with AsyncClient(client_settings) as client:
                return [await client.call(**arguments) for arguments in calls]

        return in_thread(blocking if request.param == "blocking" else lambda: asyncio.run(loop()))

    return make


def ask(
    method: str = "GET", path: str = "/quotes", effect: str = "safe", deadline_ms: float = 3000.0, **more
) -> dict:
    return {"method": method, "path": path, "effect": effect, "deadline_ms": deadline_ms} | more


UNSAFE_CALL = ask("POST", "/switches", "unsafe", body=b"{}")


def test_unsafe_call_with_lost_answer_is_unknown_and_ran_once(rig, driver) -> None:
    r = rig(servers=3)
    for server in r.servers:
        server.inject(Fault(kind="reset_after_run"))
    replies = driver(Settings([url(r.address)], token="good"), UNSAFE_CALL, UNSAFE_CALL, ask())
    assert [x.result.outcome for x in replies[:2]] == [Outcome.UNKNOWN] * 2
    assert len([e for e in r.entries("ran") if e["try"].endswith(("-1.0", "-2.0"))]) == 2
    assert sum(e["cls"] == "switch" for e in r.entries("received")) == 2


class LateTransport(httpx.HTTPTransport):
    """Has a connection for the second request only after `delay_s`."""

    requests, delay_s = 0, 0.5

    def handle_request(self, request: httpx.Request) -> httpx.Response:
        self.requests += 1
        time.sleep(self.delay_s * (self.requests == 2))
        return super().handle_request(request)


class LateAsyncTransport(httpx.AsyncHTTPTransport):
    """`LateTransport` for the asynchronous client."""

    requests, delay_s = 0, LateTransport.delay_s

    async def handle_async_request(self, request: httpx.Request) -> httpx.Response:
        self.requests += 1
        await asyncio.sleep(self.delay_s * (self.requests == 2))
        return await super().handle_async_request(request)


@pytest.mark.parametrize("kind", ["blocking", "asyncio"])
def test_keyed_call_is_not_repeated_on_a_connection_that_is_late(kind) -> None:
    """Guards against a second run: a repeat is decided on within the window and written after it."""
    received: list[bytes] = []

    def lose_answer(sock, _peer) -> None:
        if data := sock.recv(65_536):
            received.append(data)
        sock.close()

    server = StreamServer(("127.0.0.1", 0), lose_answer)
    server.start()
    settings = Settings([url(server.address)], token="good", spread_ms=0.0)
    book = ask("POST", "/bookings", "keyed", key="k", window_ms=LateTransport.delay_s * 1000)

    def blocking():
        with Client(settings) as client, httpx.Client(transport=LateTransport()) as client.pooled:
            return client.call(**book)

    async def loop():
        async with (
            AsyncClient(settings) as client,
            httpx.AsyncClient(transport=LateAsyncTransport()) as client.pooled,
        ):
            return await client.call(**book)

    try:
        reply = in_thread(blocking if kind == "blocking" else lambda: asyncio.run(loop()))
    finally:
        server.stop()
    assert (reply.result.outcome, reply.result.tries) == (Outcome.UNKNOWN, 2)
    assert len(received) == 1


def test_refused_call_waits_and_marks_its_retry(rig, driver) -> None:
    from rig import PLANS

    seen = []
    r = rig(plans=[*PLANS[:1], {"name": "small", "rate": 50, "burst": 1}])
    read = r.ingress.front.authenticator.admission.read
    r.ingress.front.authenticator.admission.read = lambda request: (
        seen.append(request.get(b"tamarind-retry")),
        read(request),
    )[1]
    replies = driver(Settings([url(r.address)], token="small"), *[ask()] * 6)
    assert {x.result.outcome for x in replies} <= {Outcome.SERVED, Outcome.REFUSED}
    assert b"1" in seen and sum(x.result.tries for x in replies) == len(seen)


def test_token_is_fetched_and_renewed_after_401(rig, driver) -> None:
    r = rig()
    token_requests = []

    def tokens(sock, _peer) -> None:
        from tamarindfold.http1 import write
        from tamarindfold.standins.base import serve_http

        def answer_token_request(sock, request, _first) -> None:
            token_requests.append(request.body)
            body = b'{"access_token":"%s","token_type":"Bearer","expires_in":600}' % (
                b"old" if len(token_requests) == 1 else b"good"
            )
            sock.sendall(write.response(200, [(b"content-type", b"application/json")], body))

        serve_http(sock, r.ingress.steady.now, answer_token_request)

    server = StreamServer(("127.0.0.1", 0), tokens)
    server.start()
    client_settings = Settings(
        [url(r.address)],
        token_url=f"http://127.0.0.1:{server.server_port}/token",
        client_id="till",
        client_secret="s",
        scope="switch",
    )
    replies = driver(client_settings, UNSAFE_CALL, UNSAFE_CALL)
    server.stop()
    assert [(x.result.outcome, x.result.tries) for x in replies] == [(Outcome.SERVED, 2), (Outcome.SERVED, 1)]
    assert token_requests == [b"grant_type=client_credentials&scope=switch"] * 2


def test_unsafe_call_fails_if_no_gateway_is_reachable(driver) -> None:
    sock = socket.socket()
    sock.bind(("127.0.0.1", 0))  # bound but not listening: connections are refused at once
    (reply,) = driver(
        Settings([url(sock.getsockname())], token="good", spread_ms=0.0), UNSAFE_CALL | {"deadline_ms": 500.0}
    )
    sock.close()
    assert reply.result.outcome is Outcome.FAILED and "reached" in reply.result.reason


def start_raw_server(data: bytes, close: bool = True) -> StreamServer:
    """Start a server that reads a request and answers with these bytes."""

    def handle(sock, _peer) -> None:
        sock.recv(65536)
        sock.sendall(data)
        if not close:
            gevent.sleep(30)

    server = StreamServer(("127.0.0.1", 0), handle)
    server.start()
    return server


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"HTTP/1.1 200 OK\r\ncontent-length: 50\r\n\r\nhalf",
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nff\r\nh",
        b"garbage\r\n\r\n",
    ],
)
def test_incomplete_answer_to_an_unsafe_call_is_unknown(driver, data) -> None:
    server = start_raw_server(data)
    (reply,) = driver(Settings([f"http://127.0.0.1:{server.server_port}"], token="good"), UNSAFE_CALL)
    server.stop()
    assert (reply.result.outcome, reply.result.tries) == (Outcome.UNKNOWN, 1)


def test_slow_answer_is_aborted_at_the_deadline(driver) -> None:
    def handle(sock, _peer) -> None:
        sock.recv(65536)
        sock.sendall(b"HTTP/1.1 200 OK\r\ncontent-length: 5000\r\n\r\n")
        for _ in range(5000):
            sock.sendall(b"x")
            gevent.sleep(0.02)

    server = StreamServer(("127.0.0.1", 0), handle)
    server.start()
    (reply,) = driver(
        Settings([f"http://127.0.0.1:{server.server_port}"], token="good"),
        UNSAFE_CALL | {"deadline_ms": 300.0},
    )
    server.stop()
    assert reply.result.outcome is Outcome.UNKNOWN


def test_idle_connections_closed_by_the_gateway_do_not_affect_unsafe_calls(rig, driver, monkeypatch) -> None:
    from tamarindfold.ingress.front import ClientConnection

    read = ClientConnection._read_request

    def read_one(connection):
        """Close the connection after one answer, without announcing it."""
        if getattr(connection, "answered", False):
            return None
        connection.answered = True
        return read(connection)

    monkeypatch.setattr(ClientConnection, "_read_request", read_one)
    r = rig()
    replies = driver(Settings([url(r.address)], token="good"), *[UNSAFE_CALL] * 8)
    assert {x.result.outcome for x in replies} == {Outcome.SERVED}


def test_client_closed_with_calls_in_flight(rig) -> None:
    r = rig(server={"default_work_ms": 300.0, "sigma": 0.0})
    client = Client(Settings([url(r.address)], token="good"))
    out: list = []
    threads = [
        threading.Thread(target=lambda a=a: out.append(client.call(**a)), daemon=True)
        for a in (UNSAFE_CALL, ask())
    ]
    for thread in threads:
        thread.start()
    wait_for(lambda: len(r.entries("received")) == 2)
    in_thread(client.close)
    wait_for(lambda: len(out) == 2)
    assert {x.result.outcome for x in out} <= {Outcome.UNKNOWN, Outcome.FAILED, Outcome.SERVED}
    assert all(x.result.outcome is not Outcome.FAILED or x.result.tries == 1 for x in out)


def test_wall_clock_change_does_not_affect_deadlines(rig, driver, monkeypatch) -> None:
    r = rig()
    real = time.time
    monkeypatch.setattr("tamarindfold.client.shared.time.time", lambda: real() - 86_400 * 365)
    (reply,) = driver(Settings([url(r.address)], token="good"), UNSAFE_CALL)
    assert reply.result.outcome is Outcome.SERVED


def test_keyed_call_without_key_and_invalid_settings_are_rejected() -> None:
    with (
        Client(Settings(["http://127.0.0.1:1"], token="x")) as client,
        pytest.raises(ValueError, match="key"),
    ):
        client.call("POST", "/bookings", effect="keyed", deadline_ms=100)
    for bad in (
        {"gateways": ["ftp://x"]},
        {"gateways": ["http://x/path"]},
        {"token": ""},
        {"token_url": "http://t"},
    ):
        with pytest.raises(ValueError):
            Settings(**({"gateways": ["http://x"], "token": "t"} | bad))


def test_core_needs_only_the_standard_library() -> None:
    code = (
        "import sys; sys.modules.update(dict.fromkeys(['gevent','httptools','msgspec','yaml','click','httpx'], None));"
        "import tamarindfold.client, tamarindfold.client.tokens, tamarindfold.client.protocol"
    )
    subprocess.run([sys.executable, "-c", code], check=True, cwd=ROOT)


@pytest.mark.parametrize("name", ["till", "batch", "refusal"])
def test_examples_run(rig, name) -> None:
    r = rig()
    done = in_thread(
        lambda: subprocess.run(
            [
                sys.executable,
                str(ROOT / "examples" / "client" / f"{name}.py"),
                url(r.address),
                "good" if name == "till" else "small",
            ],
            capture_output=True,
            text=True,
            timeout=30,
            check=False,
        )
    )
    assert done.returncode == 0, done.stderr
    assert {"till": "switch: served", "batch": "served", "refusal": "come back"}[name] in done.stdout


def test_call_command(rig, tmp_path) -> None:
    r = rig()

    def run(*arguments):
        return in_thread(
            lambda: subprocess.run(
                [
                    sys.executable,
                    "-m",
                    "tamarindfold.cli.main",
                    "call",
                    "--gateway",
                    url(r.address),
                    "--token",
                    "good",
                    *arguments,
                ],
                capture_output=True,
                text=True,
                cwd=ROOT,
                timeout=30,
                check=False,
            )
        )

    assert run("/quotes").returncode == 0
    assert run("/nowhere").returncode == 1
    file = tmp_path / "calls.yaml"
    file.write_text(
        "- {path: /quotes}\n- {path: /switches, method: POST, effect: unsafe}\n- {path: /nowhere}\n"
    )
    done = run("--file", str(file))
    assert (done.returncode, done.stdout.splitlines()[0]) == (1, "1 rejected, 2 served")
    for bad in (
        [],
        ["/a", "--file", str(file)],
        ["/bookings", "--effect", "keyed"],
        ["/a", "--deadline-ms", "soon"],
    ):
        assert run(*bad).returncode == 2


def test_wait_to_reconnect_does_not_take_a_keyed_call_out_of_its_window() -> None:
    c = call("keyed", deadline=6000.0, window=1500.0, draw=lambda: 0.0, spread=5000.0, tries=3)
    action, now, sent = c.start(0.0), 0.0, []
    events = iter([Unreached(), Broken()])
    while not isinstance(action, Result):
        if isinstance(action, Wait):
            now = action.until_ms
            action = c.handle(now, Woke())
        else:
            sent.append(now)
            action = c.handle(now, next(events, Broken()))
    assert all(at < 1500.0 for at in sent[2:])  # the second try is the first that may have run
    assert action.outcome is Outcome.UNKNOWN and action.tries == len(sent)
