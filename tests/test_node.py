"""An ingress of the platform over loopback sockets, against stand-ins of all that is round it."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import tomllib
from dataclasses import replace
from pathlib import Path
from typing import Any

import gevent
import msgspec
import pytest
from gevent import socket
from rig import read_answer, wait_for
from test_platform import CONFIG
from world import free_port

from tamarindfold.node import discovery as discovery_driver
from tamarindfold.node.limits import RESERVE, budget
from tamarindfold.platform import configuration
from tamarindfold.standins.base import Fault
from tamarindfold.standins.counter import CounterStandinConfig
from tamarindfold.standins.platform import (
    BackendConfig,
    DiscoveryConfig,
    PlatformCounter,
    PlatformDiscovery,
)

ROOT = Path(__file__).parent.parent


def fault(kind: str, **changes: Any) -> list[Fault]:
    return [Fault(kind=kind, **changes)]


def test_a_request_is_served_with_the_backends_body_and_passed_on_unchanged(world) -> None:
    w = world()
    sock = w.connect()
    answer = w.ask(sock, cls="switch", body=b"\x00\xffbody")
    assert (answer.status, answer.body) == (200, b"%016x" % 1)
    assert w.ask(sock).status == 200
    first = next(e for e in w.came() if e["method"] == "POST")
    assert (first["id"], first["target"], first["body"]) == (
        f"{1:016x}",
        "/api?key=00000000b4d65521",
        "\x00\xffbody",
    )
    assert 0 < float(first["budget"]) <= 3


def test_readiness_follows_the_list(world) -> None:
    w = world()
    sock = w.connect()
    for known, status in ((True, 200), (False, 503)):
        if not known:
            w.node.core.fleet.clear()
        sock.sendall(b"GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n")
        assert read_answer(sock).status == status


def test_beyond_the_quota_the_refusal_comes_at_once_with_a_decimal_time(world) -> None:
    w = world()
    sock = w.connect()
    answers = [w.ask(sock, X_Contract="small") for _ in range(6)]
    refused = [a for a in answers if a.status == 429]
    assert refused and all(
        "." in a.headers["retry-after"] and float(a.headers["retry-after"]) > 0 for a in refused
    )


@pytest.mark.parametrize(
    "kind", ["noise", "bad_head", "two_lengths", "short", "endless", "huge", "error", "reset", "close"]
)
def test_a_spoilt_answer_is_never_served_and_what_may_have_run_is_not_sent_again(world, kind) -> None:
    w = world(faults=fault(kind))
    short = {"X_Budget": "0.900", "X_Metering": "units=1,spread=3,first=1"} if kind == "short" else {}
    assert w.ask(cls="switch", body=b"x", **short).status in (502, 504)
    assert len(w.came()) == 1
    assert w.ask(**short).status == 503  # safe: tried again as far as allowed, then refused
    assert kind == "error" or not any(w.node.pool.idle.values())
    assert len(w.came()) <= 1 + 3


def test_kept_connections_serve_what_must_not_run_twice_only_while_none_breaks(world) -> None:
    w = world(1)
    sock = w.connect()
    for _ in range(4):
        assert w.ask(sock, cls="switch", body=b"x").status == 200
    assert w.node.pool.counts["opened"] == 1
    w.backends[0].cut()  # the backend closes what it holds
    assert w.ask(sock, cls="switch", body=b"x").status == 200
    assert w.ask(sock, cls="switch", body=b"x").status == 200
    assert w.node.pool.counts["opened"] == 3 and w.node.pool.counts["found_closed"] == 1
    w.node.pool.last_broken_ms -= w.node.limits.kept_trust_ms
    assert w.ask(sock, cls="switch", body=b"x").status == 200
    assert w.node.pool.counts["opened"] == 3


def test_a_turned_away_request_is_sent_again_even_if_it_must_not_run_twice(world) -> None:
    w = world(faults=fault("turn_away", part=0.5))
    sock = w.connect()
    statuses = [w.ask(sock, cls="switch", body=b"x").status for _ in range(20)]
    assert set(statuses) <= {200, 503} and statuses.count(200) > 10


@pytest.mark.parametrize(("room", "statuses"), [(1 << 30, {200}), (200_000, {503})])
def test_large_answers_are_served_whole_within_a_bound_for_all(world, monkeypatch, room, statuses) -> None:
    monkeypatch.setattr(
        "tamarindfold.node.ingress.budget", lambda *a: replace(budget(*a), answers_bytes=room)
    )
    w = world(body="x" * 321_544)
    sock = w.connect()
    answers = [w.ask(sock) for _ in range(3)]
    assert {a.status for a in answers} == statuses and w.node.upstream.held_bytes == 0
    assert all(len(a.body) == 321_544 for a in answers if a.status == 200)


@pytest.mark.parametrize("kind", ["endless", "huge"])
def test_endless_answers_are_dropped_after_a_head_of_bounded_size(world, kind, monkeypatch) -> None:
    w = world(faults=fault(kind))
    held: list[int] = []
    tell = w.node.core.attempt_ended
    monkeypatch.setattr(
        w.node.core, "attempt_ended", lambda *a: (held.append(w.node.upstream.peak_held_bytes), tell(*a))
    )
    assert w.ask(cls="switch", body=b"x").status == 502
    assert len(held) == 1 and held[0] <= 3 * 65_536


@pytest.mark.parametrize("kind", ["extra", "interim", "bad_report"])
def test_a_good_answer_with_more_than_belongs_to_it_is_served(world, kind) -> None:
    w = world(faults=fault(kind))
    sock = w.connect()
    for n in range(1, 6):
        answer = w.ask(sock)
        assert (answer.status, answer.body) == (200, b"%016x" % n)
    if kind == "extra":
        assert w.node.pool.counts["reused"] == 0


def test_a_client_that_leaves_has_its_attempt_given_up(world) -> None:
    w = world(1, work_ms=5_000.0)
    sock = w.connect()
    sock.sendall(w.text())
    wait_for(lambda: w.came())
    sock.close()
    wait_for(lambda: w.node.upstream.counts["cancelled"] == 1 and not w.node.pool.total_open)
    assert w.node.core.counts["left"] == 1 and not w.node.front.open_names


def test_a_silent_backend_ends_with_the_clients_time(world) -> None:
    w = world(faults=fault("silent"))
    one = {"X_Budget": "0.900", "X_Metering": "units=1,spread=3,first=1"}
    assert w.ask(cls="switch", body=b"x", **one).status == 504
    assert w.ask(**one).status in (503, 504)


@pytest.mark.parametrize(
    "raw",
    [
        b"what is this\r\n\r\n",
        b"GET / HTTP/1.1\r\n" + b"a: b\r\n" * 5000,
        b"\x16\x03\x01\x02\x00\x01\x00",
        b"POST /api HTTP/1.1\r\nHost: o\r\nContent-Length: 60000000\r\n\r\n" + b"x" * 4_000_000,
        b"GET /api HTTP/1.1\r\nHost: o\r\n\r\n" * 300,
    ],
)
def test_what_cannot_be_taken_gets_an_error_or_a_close(world, raw) -> None:
    w = world()
    sock = w.connect()
    try:
        sock.sendall(raw)
        answer = sock.recv(65536)
        assert answer == b"" or answer[9:10] == b"4"
        while sock.recv(65536):
            pass
    except OSError:
        pass  # a reset is a close
    assert not w.came()


def test_requests_ahead_of_an_answer_end_the_connection(world) -> None:
    w = world()
    sock = w.connect()
    sock.sendall(w.text() + w.text())
    assert read_answer(sock).status == 400 and not w.came()
    w.backends[0].config = w.backends[1].config = BackendConfig(work_ms=100.0)
    sock = w.connect()
    sock.sendall(w.text())
    wait_for(lambda: w.came())
    sock.sendall(w.text())
    assert read_answer(sock).status == 200 and sock.recv(100) == b""
    assert len(w.came()) == 1


def test_the_id_of_an_open_request_is_turned_away_until_that_is_answered(world) -> None:
    w = world(work_ms=200.0)
    first, second, third = w.connect(), w.connect(), w.connect()
    data = w.text()
    first.sendall(data)
    wait_for(lambda: w.came())
    second.sendall(data)
    assert read_answer(second).status == 409
    assert read_answer(first).status == 200
    third.sendall(data)
    assert read_answer(third).status == 200


@pytest.mark.parametrize(
    "sent", [b"", b"GET /api?key", b"POST /x HTTP/1.1\r\nHost: o\r\nContent-Length: 9\r\n\r\nabc"]
)
def test_a_connection_that_brings_no_whole_request_is_closed_in_time(world, monkeypatch, sent) -> None:
    monkeypatch.setattr("tamarindfold.node.ingress.budget", lambda *a: replace(budget(*a), first_ms=60.0))
    w = world()
    sock = w.connect()
    sock.sendall(sent)
    assert sock.recv(100)[9:12] in (b"", b"408")


def test_room_is_made_by_closing_who_brought_nothing_first(world, monkeypatch) -> None:
    monkeypatch.setattr("tamarindfold.node.ingress.budget", lambda *a: replace(budget(*a), connections=3))
    w = world()
    good = w.connect()
    assert w.ask(good).status == 200
    silent = [w.connect() for _ in range(2)]
    wait_for(lambda: len(w.node.front.clients) == 3)
    assert w.ask().status == 200  # in the place of the oldest silent one
    assert silent[0].recv(10) == b"" and w.node.front.counts["evicted"] == 1
    assert w.ask(good).status == 200


def test_many_idle_connections_do_not_keep_other_clients_out(world, monkeypatch) -> None:
    """rd80215: 126 idle connections were all that clients may hold, and two tries in three never came."""
    monkeypatch.setattr("tamarindfold.node.ingress.budget", lambda *a: replace(budget(*a), kept_idle=2))
    w = world()
    socks = [w.connect() for _ in range(3)]
    kept = [w.ask(sock) for sock in socks[:2]]
    wait_for(lambda: w.node.front.known_idle == 2)
    silent = w.connect()
    last = w.ask(socks[2])
    assert [a.status for a in (*kept, last)] == [200] * 3
    assert [a.headers.get("connection") for a in (*kept, last)] == [None, None, "close"]
    assert socks[2].recv(10) == b"" and w.node.front.counts["not_kept"] == 1
    silent.close()
    socks[0].close()
    wait_for(lambda: w.node.front.known_idle == 1)
    assert "connection" not in w.ask(w.connect()).headers


@pytest.mark.parametrize("sockets", [128, 256, 384, 1024])
def test_the_budget_of_descriptors_holds_for_all(sockets) -> None:
    limits = budget(sockets, 64, 20_000)
    assert limits.connections + limits.backend_connections + RESERVE <= sockets
    assert limits.kept_idle < sockets / 3 <= limits.connections and limits.backend_connections >= sockets / 4


def test_nothing_new_goes_to_a_backend_that_leaves_and_its_connections_go_with_it(world) -> None:
    w = world()
    sock = w.connect()
    for _ in range(8):
        assert w.ask(sock).status == 200
    w.discovery.change(w.entry(0, lifecycle="leaving"))
    wait_for(lambda: w.node.book.generation == 42)
    before = len(w.backends[0].ledger.of("came"))
    assert [w.ask(sock).status for _ in range(8)] == [200] * 8
    w.discovery.change(w.entry(0, lifecycle="left"))
    wait_for(lambda: w.node.book.generation == 43)
    assert len(w.backends[0].ledger.of("came")) == before
    assert len(w.node.core.fleet) == len(w.node.book.entries) == 1


def test_a_restarted_ingress_takes_nothing_before_the_news_since_its_list(world, monkeypatch) -> None:
    monkeypatch.setattr(
        "tamarindfold.node.ingress.budget", lambda *a: replace(budget(*a), first_list_ms=60_000.0)
    )
    w = world(start=False)
    w.config["known"] = {"generation": 40, "reset": True, "instances": [w.entry(0), w.entry(1)]}
    w.discovery.change(w.entry(0, lifecycle="leaving"))
    w.discovery.inject(Fault(kind="silent"))
    starting = gevent.spawn(w.run)
    wait_for(lambda: w.discovery.asked and w.node and w.node.core.fleet)
    with pytest.raises(OSError):  # clients wait for it: they would be served by the list from before
        socket.create_connection(w.node.config.listen, timeout=1)
    w.discovery.clear()
    starting.get(timeout=20)
    sock = w.connect()
    assert [w.ask(sock).status for _ in range(8)] == [200] * 8
    assert not w.backends[0].ledger.of("came")


@pytest.mark.parametrize("agent", ["silent", "away"])
def test_an_ingress_whose_agent_stays_silent_serves_by_the_list_it_has(world, monkeypatch, agent) -> None:
    monkeypatch.setattr(
        "tamarindfold.node.ingress.budget", lambda *a: replace(budget(*a), first_list_ms=20.0)
    )
    w = world(start=False)
    w.config["known"] = {"generation": 40, "reset": True, "instances": [w.entry(0), w.entry(1)]}
    w.discovery.inject(Fault(kind="silent"))
    if agent == "away":
        w.config["discovery"] = f"127.0.0.1:{free_port()}"
    w.run()
    assert "fleet.first_line_awaited_in_vain" in w.logged and w.ask().status == 200


def test_a_watch_that_falls_silent_or_makes_no_sense_is_replaced(world, monkeypatch) -> None:
    monkeypatch.setattr(discovery_driver, "SILENT_S", 0.05)
    monkeypatch.setattr(discovery_driver, "FIRST_S", 0.05)
    w = world()
    wait_for(lambda: w.node.watch.counts["watches"] >= 3)
    assert w.discovery.asked[-1].endswith("from=41") and len(w.node.core.fleet) == 2
    w.discovery.inject(Fault(kind="noise"))
    wait_for(lambda: any(asked.endswith("from=0") for asked in w.discovery.asked))
    w.discovery.clear()
    w.discovery.change(w.entry(0, lifecycle="leaving"))
    wait_for(lambda: w.node.book.generation == 42)
    assert w.ask().status == 200


def test_discovery_and_counter_move_without_a_lost_request(world) -> None:
    w = world()
    other = PlatformDiscovery(DiscoveryConfig(instances=[w.entry(0), w.entry(1)]))
    other.generation = 50
    counter = PlatformCounter(CounterStandinConfig())
    w.others += [other, counter]
    other.start()
    counter.start()
    sock = w.connect()
    for turn in range(3):  # again and again, also to where it is already
        w.node.move(
            *configuration.addresses(
                msgspec.json.encode(w.config | {"discovery": other.address, "counter": counter.address})
            )
        )
        assert w.ask(sock, X_Contract="small").status in (200, 429), turn
    wait_for(lambda: w.node.book.generation == 50 and w.node.counter.parts[0].pipeline.connected)
    wait_for(lambda: len(counter.sockets) == 1 and not w.counter.sockets)
    assert not w.node.watch.counts["lost"] > 2


def test_spoilt_replies_of_the_counter_cost_a_connection_and_no_request(world) -> None:
    w = world()
    w.counter.inject(Fault(kind="spoilt"))
    sock = w.connect()
    statuses = {w.ask(sock, X_Contract="small").status for _ in range(12)}
    assert statuses <= {200, 429}
    wait_for(lambda: "counter.lost" in w.logged)
    w.counter.clear()
    wait_for(lambda: w.node.counter.parts[0].pipeline.connected)


def test_stopping_answers_what_was_taken_and_what_still_comes(world) -> None:
    w = world(work_ms=300.0)
    early, idle = w.connect(), w.connect()
    assert w.ask(idle).status == 200
    early.sendall(w.text())
    wait_for(lambda: len(w.came()) == 2)
    stopping = gevent.spawn(w.node.stop)
    gevent.sleep(0.01)
    late = w.connect()
    late.sendall(w.text())
    answers = [read_answer(sock) for sock in (early, late)]
    assert [a.status for a in answers] == [200, 200]
    assert all(a.headers["connection"] == "close" for a in answers)
    stopping.get(timeout=20)
    assert idle.recv(10) == b"" and not len(w.node.front.clients)
    with pytest.raises(OSError):
        w.connect()


def test_no_table_grows_with_what_has_come_and_gone(world) -> None:
    w = world()
    for n in range(150):
        w.discovery.change(
            w.entry(0, instanceId=f"g-{n}"),
            *([w.entry(0, instanceId=f"g-{n - 1}", lifecycle="left")] if n else []),
        )
        sock = w.connect()
        assert w.ask(sock).status == 200
        w.opened.pop().close()
    wait_for(lambda: w.node.book.generation == 191 and not len(w.node.front.clients))
    w.node.pool.prune_idle(w.node.core.fleet.__contains__)
    sizes = w.node.counts()["sizes"]
    assert sizes["backends"] == sizes["book"] == 3 and sizes["to_backends"] <= 8
    assert not any(sizes[what] for what in ("clients", "idle", "silent", "held", "open", "calls"))
    assert len(w.node.core.gateway.backends) == 3 and len(w.node.pool.open) <= 3


# ---- the program


def start(tmp_path: Path, text: bytes | None) -> subprocess.Popen[bytes]:
    path = tmp_path / "config.json"
    if text is not None:
        path.write_bytes(text)
    return subprocess.Popen(
        [sys.executable, "-m", "tamarindfold.node"],
        cwd=ROOT,
        stderr=subprocess.PIPE,
        env=os.environ | {"RELAY_CONFIG": str(path)},
    )


@pytest.mark.parametrize(
    "text",
    [
        None,
        b"{",
        b"{}",
        msgspec.json.encode(CONFIG | {"listen": "nowhere"}),
        msgspec.json.encode(CONFIG | {"known": {"generation": "x"}}),
    ],
)
def test_what_cannot_be_started_says_why_in_one_line(tmp_path, text) -> None:
    process = start(tmp_path, text)
    _, said = process.communicate(timeout=60)
    assert (
        process.returncode == 2
        and said.count(b"\n") == 1
        and said.startswith(b"tamarindfold.node: RELAY_CONFIG")
    )


def test_signals_in_service(tmp_path) -> None:
    config = CONFIG | {
        "listen": f"127.0.0.1:{free_port()}",
        "discovery": f"127.0.0.1:{free_port()}",
        "counter": f"127.0.0.1:{free_port()}",
    }
    process = start(tmp_path, msgspec.json.encode(config))
    said: list[bytes] = [process.stderr.readline()]
    while b"node.listening" not in said[-1]:
        said.append(process.stderr.readline())
    (tmp_path / "config.json").write_bytes(b"{")
    process.send_signal(signal.SIGHUP)
    while b"node.configuration_unusable" not in said[-1]:
        said.append(process.stderr.readline())
    (tmp_path / "config.json").write_bytes(msgspec.json.encode(config | {"discovery": "127.0.0.1:1"}))
    process.send_signal(signal.SIGHUP)
    while b"node.moved" not in said[-1]:
        said.append(process.stderr.readline())
    process.send_signal(signal.SIGTERM)
    process.send_signal(signal.SIGTERM)
    process.communicate(timeout=60)
    assert process.returncode == 0


def test_the_deploy_file_starts_one_process_as_the_standing_test_asks(tmp_path) -> None:
    """By exec, without children, linked with the C library, on IPv4 alone, all threads waiting."""
    run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
    assert run.split(" ")[-4:-1] == ["exec", ".venv/bin/python", "-m"]
    config = CONFIG | {
        "listen": f"127.0.0.1:{free_port()}",
        "discovery": f"127.0.0.1:{free_port()}",
        "counter": f"127.0.0.1:{free_port()}",
    }
    (tmp_path / "config.json").write_bytes(msgspec.json.encode(config))
    command = run.replace(
        ".venv/bin/python", sys.executable
    )  # where the tests' own environment lies elsewhere
    process = subprocess.Popen(
        ["/bin/sh", "-c", command],
        cwd=ROOT,
        stdin=subprocess.DEVNULL,
        stdout=subprocess.DEVNULL,
        stderr=subprocess.PIPE,
        env=os.environ | {"RELAY_CONFIG": str(tmp_path / "config.json")},
    )
    try:
        while b"node.listening" not in process.stderr.readline():
            assert process.poll() is None
        own = Path("/proc") / str(process.pid)
        assert (own / "exe").resolve() == Path(sys.executable).resolve()
        threads = list((own / "task").iterdir())
        assert not any((thread / "children").read_text().split() for thread in threads)
        wait_for(lambda: all((t / "stat").read_text().rsplit(")", 1)[1].split()[0] == "S" for t in threads))
        mapped = (own / "maps").read_text()
        assert "libc.so" in mapped or "ld-musl" in mapped
        assert not any(
            name in mapped for name in ("_posixsubprocess", "_multiprocessing", "_sqlite3", "_ssl")
        )
        held = {os.readlink(one) for one in (own / "fd").iterdir()}
        unix = {f"socket:[{line.split()[6]}]" for line in (own / "net" / "unix").read_text().splitlines()[1:]}
        assert not held & unix
    finally:
        process.terminate()
        process.communicate(timeout=60)
    assert process.returncode == 0


def test_it_loads_nothing_that_it_does_not_use() -> None:
    code = (
        "import sys, tamarindfold.node.__main__; print(' '.join(m for m in sys.modules if m.split('.')[0] in "
        "('structlog', 'yaml', 'google', 'cryptography', 'click', 'httpx', 'asyncio', 'netaddr')"
        " or m.startswith(('tamarindfold.agreement', 'tamarindfold.keeper', 'tamarindfold.modelcheck'))))"
    )
    done = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=True)
    assert done.stdout.strip() == ""


def test_a_link_moves_while_it_connects_reads_or_pauses_and_tells_each_end() -> None:
    from tamarindfold.ds.backoff import Backoff
    from tamarindfold.links.link import Link

    listeners = [socket.create_server(("127.0.0.1", 0)) for _ in range(3)]
    addresses = [listener.getsockname() for listener in listeners]
    read: list[tuple[str, int]] = []
    ends: list[Exception | None] = []

    def reading(sock: socket.socket) -> None:
        read.append(sock.getpeername())
        if sock.recv(10):
            raise ValueError("no sense")

    link = Link(("127.0.0.1", free_port()), 5.0, Backoff(3600.0, 3600.0))
    greenlet = gevent.spawn(link.keep, reading, ends.append)
    wait_for(lambda: len(ends) == 2)  # refused twice: now it pauses
    for address in addresses:
        link.move(address)
        wait_for(lambda: link.sock is not None and read[-1] == address)  # noqa: B023
    listeners[2].accept()[0].sendall(b"noise")
    wait_for(lambda: isinstance(ends[-1], ValueError))
    assert read == addresses and link.sock is None
    greenlet.kill()
    for listener in listeners:
        listener.close()
