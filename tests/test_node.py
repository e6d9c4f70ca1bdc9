"""An ingress on the platform over loopback sockets, with stand-ins for the services that it uses."""

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
from testbed import free_port

from tamarindfold.links.subscription import Subscription
from tamarindfold.node import discovery as discovery_driver
from tamarindfold.node.limits import RESERVED_DESCRIPTORS, allocate_limits
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


def test_request_is_forwarded_unchanged_and_served_with_the_backends_body(start_testbed) -> None:
    testbed = start_testbed()
    sock = testbed.connect()
    answer = testbed.ask(sock, cls="switch", body=b"\x00\xffbody")
    assert (answer.status, answer.body) == (200, b"%016x" % 1)
    assert testbed.ask(sock).status == 200
    first = next(e for e in testbed.received() if e["method"] == "POST")
    assert (first["id"], first["target"], first["body"]) == (
        f"{1:016x}",
        "/api?key=00000000b4d65521",
        "\x00\xffbody",
    )
    assert 0 < float(first["budget"]) <= 3


def test_ready_only_with_a_list_of_backends(start_testbed) -> None:
    testbed = start_testbed()
    sock = testbed.connect()
    for known, status in ((True, 200), (False, 503)):
        if not known:
            testbed.node.core.fleet.clear()
        sock.sendall(b"GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n")
        assert read_answer(sock).status == status


def test_refusal_beyond_the_quota_has_a_decimal_retry_after(start_testbed) -> None:
    testbed = start_testbed()
    sock = testbed.connect()
    answers = [testbed.ask(sock, X_Contract="small") for _ in range(6)]
    refused = [a for a in answers if a.status == 429]
    assert refused and all(
        "." in a.headers["retry-after"] and float(a.headers["retry-after"]) > 0 for a in refused
    )


@pytest.mark.parametrize(
    "kind", ["noise", "bad_head", "two_lengths", "short", "endless", "huge", "error", "reset", "close"]
)
def test_faulty_answer_is_not_served_and_non_idempotent_request_is_not_retried(start_testbed, kind) -> None:
    testbed = start_testbed(faults=fault(kind))
    changes = {"X_Budget": "0.900", "X_Metering": "units=1,spread=3,first=1"} if kind == "short" else {}
    assert testbed.ask(cls="switch", body=b"x", **changes).status in (502, 504)
    assert len(testbed.received()) == 1
    assert testbed.ask(**changes).status == 503  # idempotent: retried as often as allowed, then refused
    assert kind == "error" or not any(testbed.node.pool.idle.values())
    assert len(testbed.received()) <= 1 + 3


def test_non_idempotent_requests_use_kept_connections_only_while_none_breaks(start_testbed) -> None:
    testbed = start_testbed(1)
    sock = testbed.connect()
    for _ in range(4):
        assert testbed.ask(sock, cls="switch", body=b"x").status == 200
    assert testbed.node.pool.counts["opened"] == 1
    testbed.backends[0].reset_connections()  # the backend closes its connections
    assert testbed.ask(sock, cls="switch", body=b"x").status == 200
    assert testbed.ask(sock, cls="switch", body=b"x").status == 200
    assert testbed.node.pool.counts["opened"] == 3 and testbed.node.pool.counts["found_closed"] == 1
    testbed.node.pool.last_broken_ms -= testbed.node.limits.reuse_after_break_ms
    assert testbed.ask(sock, cls="switch", body=b"x").status == 200
    assert testbed.node.pool.counts["opened"] == 3


def test_request_rejected_by_a_backend_is_retried_even_if_non_idempotent(start_testbed) -> None:
    testbed = start_testbed(faults=fault("turn_away", part=0.5))
    sock = testbed.connect()
    statuses = [testbed.ask(sock, cls="switch", body=b"x").status for _ in range(20)]
    assert set(statuses) <= {200, 503} and statuses.count(200) > 10


@pytest.mark.parametrize(("limit", "statuses"), [(1 << 30, {200}), (200_000, {503})])
def test_large_answers_are_served_complete_within_the_total_limit(
    start_testbed, monkeypatch, limit, statuses
) -> None:
    monkeypatch.setattr(
        "tamarindfold.node.server.allocate_limits",
        lambda *a: replace(allocate_limits(*a), total_answer_bytes=limit),
    )
    testbed = start_testbed(body="x" * 321_544)
    sock = testbed.connect()
    answers = [testbed.ask(sock) for _ in range(3)]
    assert {a.status for a in answers} == statuses and testbed.node.upstream.held_bytes == 0
    assert all(len(a.body) == 321_544 for a in answers if a.status == 200)


@pytest.mark.parametrize("kind", ["endless", "huge"])
def test_endless_answers_are_dropped_with_bounded_memory(start_testbed, kind, monkeypatch) -> None:
    testbed = start_testbed(faults=fault(kind))
    held: list[int] = []
    attempt_ended = testbed.node.core.attempt_ended
    monkeypatch.setattr(
        testbed.node.core,
        "attempt_ended",
        lambda *a: (held.append(testbed.node.upstream.peak_held_bytes), attempt_ended(*a)),
    )
    assert testbed.ask(cls="switch", body=b"x").status == 502
    assert len(held) == 1 and held[0] <= 3 * 65_536


@pytest.mark.parametrize("kind", ["extra", "interim", "bad_report"])
def test_valid_answer_with_excess_data_is_served(start_testbed, kind) -> None:
    testbed = start_testbed(faults=fault(kind))
    sock = testbed.connect()
    for n in range(1, 6):
        answer = testbed.ask(sock)
        assert (answer.status, answer.body) == (200, b"%016x" % n)
    if kind == "extra":
        assert testbed.node.pool.counts["reused"] == 0


def test_attempt_is_cancelled_when_the_client_disconnects(start_testbed) -> None:
    testbed = start_testbed(1, work_ms=5_000.0)
    sock = testbed.connect()
    sock.sendall(testbed.request_bytes())
    wait_for(lambda: testbed.received())
    sock.close()
    wait_for(lambda: testbed.node.upstream.counts["cancelled"] == 1 and not testbed.node.pool.total_open)
    assert testbed.node.core.counts["left"] == 1 and not testbed.node.front.call_ids.open


def test_silent_backend_times_out_at_the_clients_deadline(start_testbed) -> None:
    testbed = start_testbed(faults=fault("silent"))
    changes = {"X_Budget": "0.900", "X_Metering": "units=1,spread=3,first=1"}
    assert testbed.ask(cls="switch", body=b"x", **changes).status == 504
    assert testbed.ask(**changes).status in (503, 504)


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
def test_invalid_input_gets_an_error_or_a_close(start_testbed, raw) -> None:
    testbed = start_testbed()
    sock = testbed.connect()
    try:
        sock.sendall(raw)
        answer = sock.recv(65536)
        assert answer == b"" or answer[9:10] == b"4"
        while sock.recv(65536):
            pass
    except OSError:
        pass  # a reset also closes the connection
    assert not testbed.received()


def test_pipelined_request_closes_the_connection(start_testbed) -> None:
    testbed = start_testbed()
    sock = testbed.connect()
    sock.sendall(testbed.request_bytes() + testbed.request_bytes())
    assert read_answer(sock).status == 400 and not testbed.received()
    testbed.backends[0].config = testbed.backends[1].config = BackendConfig(work_ms=100.0)
    sock = testbed.connect()
    sock.sendall(testbed.request_bytes())
    wait_for(lambda: testbed.received())
    sock.sendall(testbed.request_bytes())
    assert read_answer(sock).status == 200 and sock.recv(100) == b""
    assert len(testbed.received()) == 1


def test_call_id_of_an_open_request_is_rejected_until_its_answer(start_testbed) -> None:
    testbed = start_testbed(work_ms=200.0)
    first, second, third = testbed.connect(), testbed.connect(), testbed.connect()
    data = testbed.request_bytes()
    first.sendall(data)
    wait_for(lambda: testbed.received())
    second.sendall(data)
    assert read_answer(second).status == 409
    assert read_answer(first).status == 200
    third.sendall(data)
    assert read_answer(third).status == 200


@pytest.mark.parametrize(
    "sent", [b"", b"GET /api?key", b"POST /x HTTP/1.1\r\nHost: o\r\nContent-Length: 9\r\n\r\nabc"]
)
def test_connection_without_a_complete_first_request_is_closed(start_testbed, monkeypatch, sent) -> None:
    monkeypatch.setattr(
        "tamarindfold.node.server.allocate_limits",
        lambda *a: replace(allocate_limits(*a), first_request_timeout_ms=60.0),
    )
    testbed = start_testbed()
    sock = testbed.connect()
    sock.sendall(sent)
    assert sock.recv(100)[9:12] in (b"", b"408")


def test_connections_without_a_request_are_evicted_first(start_testbed, monkeypatch) -> None:
    monkeypatch.setattr(
        "tamarindfold.node.server.allocate_limits", lambda *a: replace(allocate_limits(*a), connections=3)
    )
    testbed = start_testbed()
    good = testbed.connect()
    assert testbed.ask(good).status == 200
    silent = [testbed.connect() for _ in range(2)]
    wait_for(lambda: len(testbed.node.front.clients) == 3)
    assert testbed.ask().status == 200  # replaces the oldest silent connection
    assert silent[0].recv(10) == b"" and testbed.node.front.counts["evicted"] == 1
    assert testbed.ask(good).status == 200


def test_many_idle_connections_do_not_exclude_other_clients(start_testbed, monkeypatch) -> None:
    """Guards against idle connections that use up the connection limit for clients.

    With 126 idle connections, the whole limit, two requests in three never reached the ingress.
    """
    monkeypatch.setattr(
        "tamarindfold.node.server.allocate_limits",
        lambda *a: replace(allocate_limits(*a), max_idle_connections=2),
    )
    testbed = start_testbed()
    socks = [testbed.connect() for _ in range(3)]
    kept = [testbed.ask(sock) for sock in socks[:2]]
    wait_for(lambda: testbed.node.front.proven_idle == 2)
    silent = testbed.connect()
    last = testbed.ask(socks[2])
    assert [a.status for a in (*kept, last)] == [200] * 3
    assert [a.headers.get("connection") for a in (*kept, last)] == [None, None, "close"]
    assert socks[2].recv(10) == b"" and testbed.node.front.counts["not_kept"] == 1
    silent.close()
    socks[0].close()
    wait_for(lambda: testbed.node.front.proven_idle == 1)
    assert "connection" not in testbed.ask(testbed.connect()).headers


@pytest.mark.parametrize("sockets", [128, 256, 384, 1024])
def test_descriptor_limits_add_up(sockets) -> None:
    limits = allocate_limits(sockets, 64, 20_000)
    assert limits.connections + limits.backend_connections + RESERVED_DESCRIPTORS <= sockets
    assert (
        limits.max_idle_connections < sockets / 3 <= limits.connections
        and limits.backend_connections >= sockets / 4
    )


def test_leaving_backend_gets_no_new_requests(start_testbed) -> None:
    testbed = start_testbed()
    sock = testbed.connect()
    for _ in range(8):
        assert testbed.ask(sock).status == 200
    testbed.discovery.change(testbed.instance(0, lifecycle="leaving"))
    wait_for(lambda: testbed.node.directory.generation == 42)
    before = len(testbed.backends[0].ledger.entries_of_kind("came"))
    assert [testbed.ask(sock).status for _ in range(8)] == [200] * 8
    testbed.discovery.change(testbed.instance(0, lifecycle="left"))
    wait_for(lambda: testbed.node.directory.generation == 43)
    assert len(testbed.backends[0].ledger.entries_of_kind("came")) == before
    assert len(testbed.node.core.fleet) == len(testbed.node.directory.entries) == 1


def test_restarted_ingress_listens_only_after_the_first_update(start_testbed, monkeypatch) -> None:
    monkeypatch.setattr(
        "tamarindfold.node.server.allocate_limits",
        lambda *a: replace(allocate_limits(*a), first_list_timeout_ms=60_000.0),
    )
    testbed = start_testbed(start=False)
    testbed.config["known"] = testbed.initial_list(40)
    testbed.discovery.change(testbed.instance(0, lifecycle="leaving"))
    testbed.discovery.inject(Fault(kind="silent"))
    starting = gevent.spawn(testbed.run)
    wait_for(lambda: testbed.discovery.request_targets and testbed.node and testbed.node.core.fleet)
    with pytest.raises(OSError):  # it does not listen yet, since its list may be outdated
        socket.create_connection(testbed.node.config.listen, timeout=1)
    testbed.discovery.clear()
    starting.get(timeout=20)
    sock = testbed.connect()
    assert [testbed.ask(sock).status for _ in range(8)] == [200] * 8
    assert not testbed.backends[0].ledger.entries_of_kind("came")


def test_start_in_an_outage_of_discovery_sends_nothing_to_backends_that_drain(
    start_testbed, monkeypatch
) -> None:
    """Guards against requests that are routed by the list from before a restart while discovery is silent.

    The outage is as long as the platform's longest one. It ends as soon as the ingress waits for longer.
    """
    outage_ms, ready_limit_ms = 8_000, 10_000
    testbed = start_testbed(start=False)
    testbed.config["known"] = testbed.initial_list(41)
    testbed.discovery.change(testbed.instance(0, lifecycle="leaving"))
    testbed.discovery.inject(Fault(kind="silent"))
    wait, waits_ms = Subscription.wait_for_first_message, []

    def wait_in_outage(self: Subscription, timeout_ms: float, *args: Any, **details: Any) -> None:
        waits_ms.append(timeout_ms)
        if timeout_ms > outage_ms:
            testbed.discovery.clear()
            wait(self, timeout_ms, *args, **details)

    monkeypatch.setattr(Subscription, "wait_for_first_message", wait_in_outage)
    testbed.run()
    sock = testbed.connect()
    assert [testbed.ask(sock).status for _ in range(8)] == [200] * 8
    assert not testbed.backends[0].ledger.entries_of_kind("came")
    assert len(waits_ms) == 1 and waits_ms[0] < ready_limit_ms


@pytest.mark.parametrize("discovery", ["silent", "away"])
def test_ingress_without_discovery_serves_by_its_initial_list(start_testbed, monkeypatch, discovery) -> None:
    monkeypatch.setattr(
        "tamarindfold.node.server.allocate_limits",
        lambda *a: replace(allocate_limits(*a), first_list_timeout_ms=20.0),
    )
    testbed = start_testbed(start=False)
    testbed.config["known"] = testbed.initial_list(40)
    testbed.discovery.inject(Fault(kind="silent"))
    if discovery == "away":
        testbed.config["discovery"] = f"127.0.0.1:{free_port()}"
    testbed.run()
    assert "fleet.first_line_awaited_in_vain" in testbed.logged and testbed.ask().status == 200


def test_silent_or_invalid_watch_is_replaced(start_testbed, monkeypatch) -> None:
    monkeypatch.setattr(discovery_driver, "SILENCE_TIMEOUT_S", 0.05)
    monkeypatch.setattr(discovery_driver, "FIRST_DATA_TIMEOUT_S", 0.05)
    testbed = start_testbed()
    wait_for(lambda: testbed.node.watch.counts["watches"] >= 3)
    assert testbed.discovery.request_targets[-1].endswith("from=41") and len(testbed.node.core.fleet) == 2
    testbed.discovery.inject(Fault(kind="noise"))
    wait_for(lambda: any(asked.endswith("from=0") for asked in testbed.discovery.request_targets))
    testbed.discovery.clear()
    testbed.discovery.change(testbed.instance(0, lifecycle="leaving"))
    wait_for(lambda: testbed.node.directory.generation == 42)
    assert testbed.ask().status == 200


def test_discovery_and_counter_change_address_without_a_lost_request(start_testbed) -> None:
    testbed = start_testbed()
    other = PlatformDiscovery(DiscoveryConfig(instances=[testbed.instance(0), testbed.instance(1)]))
    other.generation = 50
    counter = PlatformCounter(CounterStandinConfig())
    testbed.services += [other, counter]
    other.start()
    counter.start()
    sock = testbed.connect()
    for turn in range(3):  # repeatedly, also to the current address
        testbed.node.change_addresses(
            *configuration.addresses(
                msgspec.json.encode(testbed.config | {"discovery": other.address, "counter": counter.address})
            )
        )
        assert testbed.ask(sock, X_Contract="small").status in (200, 429), turn
    wait_for(
        lambda: testbed.node.directory.generation == 50 and testbed.node.counter.parts[0].pipeline.connected
    )
    wait_for(lambda: len(counter.sockets) == 1 and not testbed.counter.sockets)
    assert not testbed.node.watch.counts["lost"] > 2


def test_corrupted_counter_replies_cost_a_connection_but_no_request(start_testbed) -> None:
    testbed = start_testbed()
    testbed.counter.inject(Fault(kind="spoilt"))
    sock = testbed.connect()
    statuses = {testbed.ask(sock, X_Contract="small").status for _ in range(12)}
    assert statuses <= {200, 429}
    wait_for(lambda: "counter.lost" in testbed.logged)
    testbed.counter.clear()
    wait_for(lambda: testbed.node.counter.parts[0].pipeline.connected)


def test_stop_answers_open_requests_and_new_ones(start_testbed) -> None:
    testbed = start_testbed(work_ms=300.0)
    early, idle = testbed.connect(), testbed.connect()
    assert testbed.ask(idle).status == 200
    early.sendall(testbed.request_bytes())
    wait_for(lambda: len(testbed.received()) == 2)
    stopping = gevent.spawn(testbed.node.stop)
    gevent.sleep(0.01)
    late = testbed.connect()
    late.sendall(testbed.request_bytes())
    answers = [read_answer(sock) for sock in (early, late)]
    assert [a.status for a in answers] == [200, 200]
    assert all(a.headers["connection"] == "close" for a in answers)
    stopping.get(timeout=20)
    assert idle.recv(10) == b"" and not len(testbed.node.front.clients)
    with pytest.raises(OSError):
        testbed.connect()


def test_no_table_grows_with_replaced_backends_and_closed_connections(start_testbed) -> None:
    testbed = start_testbed()
    for n in range(150):
        testbed.discovery.change(
            testbed.instance(0, instanceId=f"g-{n}"),
            *([testbed.instance(0, instanceId=f"g-{n - 1}", lifecycle="left")] if n else []),
        )
        sock = testbed.connect()
        assert testbed.ask(sock).status == 200
        testbed.opened.pop().close()
    wait_for(lambda: testbed.node.directory.generation == 191 and not len(testbed.node.front.clients))
    testbed.node.pool.prune_idle(testbed.node.core.fleet.__contains__)
    sizes = testbed.node.counts()["sizes"]
    assert sizes["backends"] == sizes["book"] == 3 and sizes["to_backends"] <= 8
    assert not any(sizes[what] for what in ("clients", "idle", "silent", "held", "open", "calls"))
    assert len(testbed.node.core.gateway.backends) == 3 and len(testbed.node.pool.open) <= 3


# ---- the program


def start_process(tmp_path: Path, text: bytes | None) -> subprocess.Popen[bytes]:
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
def test_failed_start_prints_one_line(tmp_path, text) -> None:
    process = start_process(tmp_path, text)
    _, output = process.communicate(timeout=60)
    assert (
        process.returncode == 2
        and output.count(b"\n") == 1
        and output.startswith(b"tamarindfold.node: RELAY_CONFIG")
    )


def test_signals_while_serving(tmp_path) -> None:
    config = CONFIG | {
        "listen": f"127.0.0.1:{free_port()}",
        "discovery": f"127.0.0.1:{free_port()}",
        "counter": f"127.0.0.1:{free_port()}",
    }
    process = start_process(tmp_path, msgspec.json.encode(config))
    output: list[bytes] = [process.stderr.readline()]
    while b"node.listening" not in output[-1]:
        output.append(process.stderr.readline())
    (tmp_path / "config.json").write_bytes(b"{")
    process.send_signal(signal.SIGHUP)
    while b"node.configuration_unusable" not in output[-1]:
        output.append(process.stderr.readline())
    (tmp_path / "config.json").write_bytes(msgspec.json.encode(config | {"discovery": "127.0.0.1:1"}))
    process.send_signal(signal.SIGHUP)
    while b"node.moved" not in output[-1]:
        output.append(process.stderr.readline())
    process.send_signal(signal.SIGTERM)
    process.send_signal(signal.SIGTERM)
    process.communicate(timeout=60)
    assert process.returncode == 0


def test_deploy_file_starts_one_process_with_the_required_properties(tmp_path) -> None:
    """Started by exec; no child processes, linked with the C library, IPv4 but no Unix sockets, all threads waiting."""
    run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
    assert run.split(" ")[-4:-1] == ["exec", ".venv/bin/python", "-m"]
    config = CONFIG | {
        "listen": f"127.0.0.1:{free_port()}",
        "discovery": f"127.0.0.1:{free_port()}",
        "counter": f"127.0.0.1:{free_port()}",
    }
    (tmp_path / "config.json").write_bytes(msgspec.json.encode(config))
    # the tests may run in another environment
    command = run.replace(".venv/bin/python", sys.executable)
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
        proc = Path("/proc") / str(process.pid)
        assert (proc / "exe").resolve() == Path(sys.executable).resolve()
        threads = list((proc / "task").iterdir())
        assert not any((thread / "children").read_text().split() for thread in threads)
        wait_for(lambda: all((t / "stat").read_text().rsplit(")", 1)[1].split()[0] == "S" for t in threads))
        mapped = (proc / "maps").read_text()
        assert "libc.so" in mapped or "ld-musl" in mapped
        assert not any(
            name in mapped for name in ("_posixsubprocess", "_multiprocessing", "_sqlite3", "_ssl")
        )
        descriptors = {os.readlink(link) for link in (proc / "fd").iterdir()}
        unix = {
            f"socket:[{line.split()[6]}]" for line in (proc / "net" / "unix").read_text().splitlines()[1:]
        }
        assert not descriptors & unix
    finally:
        process.terminate()
        process.communicate(timeout=60)
    assert process.returncode == 0


def test_unused_modules_are_not_loaded() -> None:
    code = (
        "import sys, tamarindfold.node.__main__; print(' '.join(m for m in sys.modules if m.split('.')[0] in "
        "('structlog', 'yaml', 'google', 'cryptography', 'click', 'httpx', 'asyncio', 'netaddr')"
        " or m.startswith(('tamarindfold.agreement', 'tamarindfold.keeper', 'tamarindfold.modelcheck'))))"
    )
    done = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=True)
    assert done.stdout.strip() == ""


def test_link_changes_address_while_connecting_reading_or_pausing_and_reports_each_end() -> None:
    from tamarindfold.ds.backoff import Backoff
    from tamarindfold.links.link import Link

    listeners = [socket.create_server(("127.0.0.1", 0)) for _ in range(3)]
    addresses = [listener.getsockname() for listener in listeners]
    read: list[tuple[str, int]] = []
    ends: list[Exception | None] = []

    def reading(sock: socket.socket) -> None:
        read.append(sock.getpeername())
        if sock.recv(10):
            raise ValueError("invalid data")

    link = Link(("127.0.0.1", free_port()), 5.0, Backoff(3600.0, 3600.0))
    greenlet = gevent.spawn(link.maintain, reading, ends.append)
    wait_for(lambda: len(ends) == 2)  # refused twice: now in the backoff pause
    for address in addresses:
        link.change_address(address)
        wait_for(lambda: link.sock is not None and read[-1] == address)  # noqa: B023
    listeners[2].accept()[0].sendall(b"noise")
    wait_for(lambda: isinstance(ends[-1], ValueError))
    assert read == addresses and link.sock is None
    greenlet.kill()
    for listener in listeners:
        listener.close()
