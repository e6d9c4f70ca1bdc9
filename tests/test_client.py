"""The client library: its core by examples and by property, its drivers against real gateways."""

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
import pytest
from gevent import socket
from gevent.server import StreamServer
from hypothesis import given, settings
from hypothesis import strategies as st
from rig import wait_for

from tamarindfold.client import vectors
from tamarindfold.client.aio import AsyncClient
from tamarindfold.client.blocking import Client
from tamarindfold.client.budget import Budget
from tamarindfold.client.core import (
    Answered,
    Ask,
    Broken,
    Call,
    NoToken,
    Outcome,
    Result,
    Rules,
    Send,
    Unreached,
    Wait,
    Woke,
)
from tamarindfold.client.gateways import Gateways
from tamarindfold.client.protocol import MOST_WAIT_MS, NO_WAIT_MS, wait_ms
from tamarindfold.client.shared import Settings
from tamarindfold.client.spread import Reconnects, place
from tamarindfold.client.tokens import Fetch, Hold, Tokens, Use
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
        Ask(effect, deadline, window if effect == "keyed" else 0.0),
        Gateways(names, "me", draw),
        Budget(0.2, budget),
        Reconnects("me", spread, 200, 5000, draw),
        draw,
    )


# ---- the core


@pytest.mark.parametrize(
    "event", [Broken(), Answered(502, FAILED), Answered(504, FAILED), Answered(500), Answered(503)]
)
def test_a_switch_that_may_have_run_is_unknown_and_never_sent_again(event) -> None:
    c = call("unsafe")
    assert isinstance(c.start(0), Send)
    result = c.handle(5, event)
    assert isinstance(result, Result) and (result.outcome, result.tries) == (Outcome.UNKNOWN, 1)
    assert c.handle(6, Woke()) is result


def test_a_switch_that_never_left_goes_to_another_gateway() -> None:
    c = call("unsafe")
    first = c.start(0)
    pause = c.handle(5, Unreached())
    again = c.handle(pause.until_ms, Woke())
    assert isinstance(again, Send) and again.gateway != first.gateway and not again.retry


@pytest.mark.parametrize("draw", [0.0, 0.5, 0.999])
def test_a_refusal_is_obeyed_never_early_and_a_tenth_late_at_most(draw) -> None:
    c = call("unsafe", draw=lambda: draw)
    c.start(0)
    pause = c.handle(10, Answered(429, REFUSED))
    assert 1010 <= pause.until_ms <= 1110
    again = c.handle(pause.until_ms, Woke())
    assert again.retry and again.time_left_ms == 10_000 - pause.until_ms


def test_a_wait_beyond_the_deadline_ends_the_call_at_once_and_says_when() -> None:
    c = call(deadline=900)
    c.start(0)
    assert c.handle(10, Answered(429, REFUSED)) == Result(
        Outcome.REFUSED, "the wait that was told lies beyond the deadline", 1, 1010
    )


def test_a_keyed_call_is_repeated_within_its_window_only() -> None:
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


def test_a_token_that_is_not_taken_is_renewed_once() -> None:
    c = call("unsafe")
    assert not c.start(0).fresh_token
    again = c.handle(5, Answered(401, {"tamarind-outcome": "rejected"}))
    assert isinstance(again, Send) and again.fresh_token
    assert c.handle(9, Answered(401, {"tamarind-outcome": "rejected"})).outcome is Outcome.REJECTED


def test_a_refusal_while_the_token_ends_leads_to_one_renewal_after_the_wait() -> None:
    c = call()
    c.start(0)
    pause = c.handle(5, Answered(429, REFUSED))
    send = c.handle(pause.until_ms, Woke())
    assert send.retry and not send.fresh_token
    send = c.handle(pause.until_ms + 5, Answered(401, {"tamarind-outcome": "rejected"}))
    assert send.retry and send.fresh_token


def test_a_budget_bounds_repeats_over_calls() -> None:
    budget, draw = Budget(0.2, 3.0), Random(1).random
    gateways, reconnects = Gateways(["g"], "me", draw), Reconnects("me", 0, 1, 1, draw)
    tries = 0
    for i in range(50):
        c = Call(Rules(4), Ask("safe", 1e9), gateways, budget, reconnects, draw)
        action, now = c.start(i * 1000.0), i * 1000.0
        while not isinstance(action, Result):
            tries += isinstance(action, Send)
            now = action.until_ms if isinstance(action, Wait) else now
            action = c.handle(now, Woke() if isinstance(action, Wait) else Answered(503, FAILED))
    assert 50 + 10 <= tries <= 50 + 3 + 10


def test_a_gateway_that_fails_is_left_and_let_back_by_one_trial() -> None:
    g = Gateways(["a", "b"], "me", lambda: 0.0)
    first = g.order[0]
    for _ in range(3):
        assert g.choose(0.0) == first
        g.bad(0.0, first)
    assert g.choose(1.0) == g.order[1]
    assert g.choose(1001.0) == first  # one trial
    assert g.choose(1002.0) == g.order[1]  # and no second beside it
    g.good(first)
    assert g.choose(1003.0) == first


@pytest.mark.parametrize(
    ("headers", "wait"),
    [
        ({"retry-after": "2"}, 2000),
        ({"retry-after": "Fri, 15 Jan 2027 08:00:10 GMT"}, 10_000),
        ({"retry-after": "Friday, 15-Jan-27 08:00:10 GMT"}, 10_000),
        ({"retry-after": "Fri Jan 15 08:00:10 2027"}, 10_000),
        ({"retry-after": "Fri, 15 Jan 2027 07:00:00 GMT"}, 0),
        ({"retry-after": "whenever"}, NO_WAIT_MS),
        ({"retry-after": "1e9"}, NO_WAIT_MS),
        ({"retry-after": "-1"}, NO_WAIT_MS),
        ({}, NO_WAIT_MS),
        ({"retry-after": "9" * 5000}, MOST_WAIT_MS),
        ({"retry-after": "١٢"}, NO_WAIT_MS),
        ({"tamarind-retry-after-ms": "7", "retry-after": "1"}, 7),
    ],
)
def test_retry_after_as_a_number_a_date_nonsense_and_huge(headers, wait) -> None:
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
def test_whatever_happens_one_try_is_out_and_nothing_is_repeated_that_must_not_be(
    effect, script, chance, spread, most
) -> None:
    c = call(effect, deadline=6000.0, window=1500.0, draw=lambda: chance, spread=spread, tries=most)
    now, action = 0.0, c.start(0.0)
    doubt, first, tries, until = False, None, 0, 0.0
    for event, took in [*script, *[(Broken(), 10_000)] * 40]:
        while isinstance(action, Wait):
            assert now <= action.until_ms < 6000.0
            now = action.until_ms
            action = c.handle(now, Woke())
        if isinstance(action, Result):
            break
        tries += 1
        first = now if first is None else first
        assert now >= until and now < 6000.0 and tries <= most
        assert not doubt or effect == "safe" or (effect == "keyed" and now < first + 1500.0)
        now += took
        if isinstance(event, Answered) and event.headers.get("tamarind-outcome") == "refused":
            until = now + 1000.0
        doubt |= isinstance(event, Broken) or (isinstance(event, Answered) and event.status in (500, 502))
        action = c.handle(now, event)
    assert isinstance(action, Result) and action.tries == tries
    if doubt and effect != "safe" and action.outcome is not Outcome.SERVED:
        assert action.outcome is Outcome.UNKNOWN


# ---- tokens


def test_tokens_are_renewed_ahead_by_one_and_not_used_to_their_last_moment() -> None:
    t = Tokens(lambda: 0.0)
    assert t.need(0) == Fetch() and t.need(1) == Hold()
    t.fetched(10, "a", 100_000)
    assert t.need(20) == Use("a")
    assert t.need(80_020) == Use("a", True) and t.need(80_030) == Use("a")
    t.failed(80_040)
    assert t.need(80_050) == Use("a")  # not again at once
    assert t.need(98_020) == Fetch()  # too near to its end to be used
    t.fetched(98_030, "b", None)
    t.refused("a")  # an answer to a try of before
    assert t.need(98_040) == Use("b")
    t.refused("b")
    assert t.need(98_050) == Fetch()
    t.failed(98_060)
    assert isinstance(t.need(98_061), Hold)


# ---- reconnects: 120 gateways restart together, in simulated time


def test_clients_come_back_spread_evenly_and_alike_after_each_restart() -> None:
    def slots(draw) -> list[float]:
        return [Reconnects(f"till-{i}", 10_000, 200, 30_000, draw).lost(0.0, "g") for i in range(2_000)]

    once, again = slots(Random(1).random), slots(Random(2).random)
    assert once == again  # the client's own place, whatever the dice say
    per_100 = [sum(100 * k <= at < 100 * (k + 1) for at in once) for k in range(100)]
    assert max(per_100) < 60 and min(per_100) > 2  # all at once would be 2000
    assert 0 <= place("a", "b") < 1


def test_losing_many_connections_at_once_counts_once() -> None:
    r = Reconnects("me", 1000, 200, 5000, lambda: 0.5)
    at = r.lost(0.0, "g")
    assert r.lost(1.0, "g") == at
    later = r.lost(at + 1, "g")
    assert later > at + 1
    r.connected("g")
    assert r.may_at("g") == 0.0


# ---- vectors


def test_the_vectors_are_what_the_core_does(tmp_path) -> None:
    for name, data in (("calls", [vectors.make(seed) for seed in range(vectors.LIVES)]),):
        held = json.loads((ROOT / "clients" / "vectors" / f"{name}.json").read_text())
        assert held == json.loads(json.dumps(data))
    for vector in held:
        draws = iter(vector["draws"])
        life = vectors.Life(vector["settings"], lambda draws=draws: next(draws))
        for one in vector["calls"]:
            made = life.call(one["ask"])
            for step in one["steps"]:
                event = step["event"]
                action = (
                    made.start(step["now"])
                    if event is None
                    else made.handle(step["now"], vectors.event_from(event))
                )
                assert vectors.action_json(action) == step["action"]
    for wait in json.loads((ROOT / "clients" / "vectors" / "waits.json").read_text()):
        assert wait_ms(wait["headers"], wait["wall_ms"]) == wait["wait_ms"]


# ---- drivers against a real gateway; they run in threads, as the gateway's loop has this one


def in_thread(work):
    """What a blocking piece of work gives, while the loop here goes on."""
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
    """Makes calls with either driver, and says what came of each."""

    def make(client_settings: Settings, *asked: dict) -> list:
        def blocking():
            with Client(client_settings) as client:
                return [client.call(**a) for a in asked]

        async def loop():
            async with AsyncClient(client_settings) as client:
                return [await client.call(**a) for a in asked]

        return in_thread(blocking if request.param == "blocking" else lambda: asyncio.run(loop()))

    return make


def ask(
    method: str = "GET", path: str = "/quotes", effect: str = "safe", deadline_ms: float = 3000.0, **more
) -> dict:
    return {"method": method, "path": path, "effect": effect, "deadline_ms": deadline_ms} | more


SWITCH = ask("POST", "/switches", "unsafe", body=b"{}")


def test_a_lost_answer_of_a_switch_is_unknown_and_it_ran_once(rig, driver) -> None:
    r = rig(servers=3)
    for server in r.servers:
        server.inject(Fault(kind="reset_after_run"))
    replies = driver(Settings([url(r.address)], token="good"), SWITCH, SWITCH, ask())
    assert [x.result.outcome for x in replies[:2]] == [Outcome.UNKNOWN] * 2
    assert len([e for e in r.entries("ran") if e["try"].endswith(("-1.0", "-2.0"))]) == 2
    assert sum(e["cls"] == "switch" for e in r.entries("received")) == 2


def test_a_refusal_is_waited_out_and_the_retry_is_marked(rig, driver) -> None:
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


def test_a_token_is_fetched_renewed_after_401_and_sent_again(rig, driver) -> None:
    r = rig()
    given = []

    def tokens(sock, _peer) -> None:
        from tamarindfold.http1 import write
        from tamarindfold.standins.base import serve_http

        def one(sock, request, _first) -> None:
            given.append(request.body)
            body = b'{"access_token":"%s","token_type":"Bearer","expires_in":600}' % (
                b"old" if len(given) == 1 else b"good"
            )
            sock.sendall(write.response(200, [(b"content-type", b"application/json")], body))

        serve_http(sock, r.ingress.steady.now, one)

    server = StreamServer(("127.0.0.1", 0), tokens)
    server.start()
    made = Settings(
        [url(r.address)],
        token_url=f"http://127.0.0.1:{server.server_port}/token",
        client_id="till",
        client_secret="s",
        scope="switch",
    )
    replies = driver(made, SWITCH, SWITCH)
    server.stop()
    assert [(x.result.outcome, x.result.tries) for x in replies] == [(Outcome.SERVED, 2), (Outcome.SERVED, 1)]
    assert given == [b"grant_type=client_credentials&scope=switch"] * 2


def test_nobody_there_is_failed_and_said_so_for_a_switch_too(driver) -> None:
    sock = socket.socket()
    sock.bind(("127.0.0.1", 0))  # bound and not listening: refused at once
    (reply,) = driver(
        Settings([url(sock.getsockname())], token="good", spread_ms=0.0), SWITCH | {"deadline_ms": 500.0}
    )
    sock.close()
    assert reply.result.outcome is Outcome.FAILED and "reached" in reply.result.reason


def answering(data: bytes, close: bool = True) -> StreamServer:
    """A gateway that reads a request and answers these bytes."""

    def one(sock, _peer) -> None:
        sock.recv(65536)
        sock.sendall(data)
        if not close:
            gevent.sleep(30)

    server = StreamServer(("127.0.0.1", 0), one)
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
def test_half_an_answer_to_a_switch_is_unknown(driver, data) -> None:
    server = answering(data)
    (reply,) = driver(Settings([f"http://127.0.0.1:{server.server_port}"], token="good"), SWITCH)
    server.stop()
    assert (reply.result.outcome, reply.result.tries) == (Outcome.UNKNOWN, 1)


def test_an_answer_that_trickles_past_the_deadline_is_cut_off(driver) -> None:
    def one(sock, _peer) -> None:
        sock.recv(65536)
        sock.sendall(b"HTTP/1.1 200 OK\r\ncontent-length: 5000\r\n\r\n")
        for _ in range(5000):
            sock.sendall(b"x")
            gevent.sleep(0.02)

    server = StreamServer(("127.0.0.1", 0), one)
    server.start()
    (reply,) = driver(
        Settings([f"http://127.0.0.1:{server.server_port}"], token="good"), SWITCH | {"deadline_ms": 300.0}
    )
    server.stop()
    assert reply.result.outcome is Outcome.UNKNOWN


def test_a_gateway_that_closes_idle_connections_puts_no_switch_in_doubt(rig, driver, monkeypatch) -> None:
    from tamarindfold.ingress.front import ClientConnection

    read = ClientConnection._read_request

    def once(connection):
        """Closes after one answer, without a word of it."""
        if getattr(connection, "answered", False):
            return None
        connection.answered = True
        return read(connection)

    monkeypatch.setattr(ClientConnection, "_read_request", once)
    r = rig()
    replies = driver(Settings([url(r.address)], token="good"), *[SWITCH] * 8)
    assert {x.result.outcome for x in replies} == {Outcome.SERVED}


def test_a_client_closed_with_calls_under_way(rig) -> None:
    r = rig(server={"default_work_ms": 300.0, "sigma": 0.0})
    client = Client(Settings([url(r.address)], token="good"))
    out: list = []
    threads = [
        threading.Thread(target=lambda a=a: out.append(client.call(**a)), daemon=True)
        for a in (SWITCH, ask())
    ]
    for thread in threads:
        thread.start()
    wait_for(lambda: len(r.entries("received")) == 2)
    in_thread(client.close)
    wait_for(lambda: len(out) == 2)
    assert {x.result.outcome for x in out} <= {Outcome.UNKNOWN, Outcome.FAILED, Outcome.SERVED}
    assert all(x.result.outcome is not Outcome.FAILED or x.result.tries == 1 for x in out)


def test_a_wall_clock_that_is_set_leaves_deadlines_alone(rig, driver, monkeypatch) -> None:
    r = rig()
    real = time.time
    monkeypatch.setattr("tamarindfold.client.shared.time.time", lambda: real() - 86_400 * 365)
    (reply,) = driver(Settings([url(r.address)], token="good"), SWITCH)
    assert reply.result.outcome is Outcome.SERVED


def test_a_keyed_call_needs_a_key_and_settings_are_checked() -> None:
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


def test_the_core_needs_no_library() -> None:
    code = (
        "import sys; sys.modules.update(dict.fromkeys(['gevent','httptools','msgspec','yaml','click','httpx'], None));"
        "import tamarindfold.client, tamarindfold.client.tokens, tamarindfold.client.protocol"
    )
    subprocess.run([sys.executable, "-c", code], check=True, cwd=ROOT)


@pytest.mark.parametrize("name", ["till", "batch", "refusal"])
def test_the_examples_run(rig, name) -> None:
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


def test_the_call_command(rig, tmp_path) -> None:
    r = rig()

    def run(*words):
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
                    *words,
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


def test_a_slot_for_reconnecting_does_not_carry_a_keyed_call_out_of_its_window() -> None:
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
