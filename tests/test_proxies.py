"""The forward-auth front with stand-in proxies, their faults and other HTTP clients; and the judge with proxies."""

from __future__ import annotations

import json
import shutil
import subprocess
from collections.abc import Callable
from random import Random
from types import SimpleNamespace
from typing import Any

import gevent
import httpx
import msgspec
import pytest
import requests
from gevent import socket
from rig import CLASSES, Rig, read_answer, request, wait_for
from test_judge import CAPPED, broken_rules, scenario

from tamarindfold.choice import Gateway
from tamarindfold.interface import Count, ExternalUse, RequestWithdrawn
from tamarindfold.membership.feed import ServerLine
from tamarindfold.rehearsal.judge import judge
from tamarindfold.rehearsal.load import LoadGenerator, _Call
from tamarindfold.rehearsal.observations import join_ledgers
from tamarindfold.standins.base import Fault
from tamarindfold.standins.proxy import ProxyConfig, ProxyServer


class Proxied:
    """A rig with a proxy in front of it, and clients that connect to the proxy."""

    def __init__(self, r: Rig, kind: str, faults: list[Fault], **config: Any) -> None:
        self.r = r
        port = r.ingress.forward_listener.server_port
        self.gateway = f"127.0.0.1:{port}"
        self.proxy = ProxyServer(
            ProxyConfig(
                **(
                    {
                        "kind": kind,
                        "gateways": [self.gateway],
                        "servers": [s.address for s in r.servers],
                        "faults": faults,
                        "source": "127.0.2.1",
                        "auth_timeout_ms": 20_000.0,
                    }
                    | config
                )
            )
        )
        self.proxy.start()
        gevent.sleep(0)  # let the faults start
        self.sub_requests = 0

    @property
    def permits(self) -> dict[str, int]:
        return self.r.ingress.forward_front.permits.counts

    def ask(
        self,
        path: str = "/quotes",
        method: str = "GET",
        token: str | None = "good",
        body: bytes = b"",
        **headers: str,
    ):
        sock = socket.create_connection(("127.0.0.1", self.proxy.server.server_port), timeout=20)
        self.r.opened.append(sock)
        sock.sendall(request(path, method, token, body, **headers))
        return read_answer(sock)


@pytest.fixture
def proxied(rig):
    made = []

    def make(
        kind: str = "traefik", *faults: str | Fault, config: dict[str, Any] | None = None, **changes
    ) -> Proxied:
        section = {"trusted": ["127.0.2.0/24"], "lapse_ms": 60_000, "prefix": "/auth", "decide_ms": 10_000}
        r = rig(forward=section | changes.pop("forward", {}), **changes)
        given = [Fault(kind=f) if isinstance(f, str) else f for f in faults]
        made.append(Proxied(r, kind, given, **(config or {})))
        return made[-1]

    yield make
    for created in made:
        created.proxy.stop()


KINDS = ["nginx", "traefik", "caddy", "envoy"]


@pytest.mark.parametrize("kind", KINDS)
def test_each_proxy_sends_sub_request_attempt_and_report(proxied, kind) -> None:
    p = proxied(kind)
    assert (p.ask().status, p.ask("/switches", "POST", body=b"{}").status) == (200, 200)
    wait_for(lambda: p.permits["settled"] == 2)
    assert [e["cls"] for e in p.r.entries("received")] == ["quote", "switch"]
    assert {e["peer"] for e in p.r.entries("received")} == {"127.0.2.1"}
    assert p.r.ingress.core.counts["served"] == 2 and not p.r.ingress.core.gateway.calls


@pytest.mark.parametrize("kind", KINDS)
def test_refusals_reach_the_client_through_each_proxy(proxied, kind) -> None:
    p = proxied(kind)
    assert p.ask(token="bad").status == 401 and p.ask(token="bad").headers.get("www-authenticate")
    assert p.ask("/switches", "POST", token="noscope").status == 403
    answers = [p.ask(token="small", tamarind_units="2") for _ in range(12)]
    refused = [a for a in answers if a.status == 429]
    assert refused and all(a.headers["tamarind-outcome"] == "refused" for a in refused)
    assert all(int(a.headers["retry-after"]) >= 1 for a in refused)
    assert p.ask("/nowhere").status == 404


@pytest.mark.parametrize("kind", KINDS)
def test_announced_body_that_never_comes_is_not_waited_for(proxied, kind) -> None:
    p = proxied(kind, "body_announced", limits={"body_timeout_ms": 60_000}, forward={"body_ms": 5})
    assert p.ask("/switches", "POST", body=b"x" * 500).status == 200
    assert p.r.ingress.forward_front.counts["bodies_not_come"] == 1
    assert len(p.r.entries("ran")) == 1


@pytest.mark.parametrize("kind", ["nginx", "envoy"])
def test_joined_authorization_headers_are_rejected(proxied, kind) -> None:
    p = proxied(kind, "headers_joined")
    answer = p.ask(accept="a")
    assert answer.status == 200
    sock = socket.create_connection(("127.0.0.1", p.proxy.server.server_port), timeout=10)
    p.r.opened.append(sock)
    sock.sendall(
        b"GET /quotes HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer good\r\nAuthorization: Bearer other\r\n\r\n"
    )
    assert read_answer(sock).status in (400, 401)  # two credentials in one header field are invalid
    assert p.r.ingress.core.counts["arrived"] == 1


def test_two_authorization_headers_are_rejected(proxied) -> None:
    p = proxied()
    host, port = p.gateway.split(":")
    sock = socket.create_connection((host, int(port)), timeout=10, source_address=("127.0.2.1", 0))
    p.r.opened.append(sock)
    sock.sendall(
        request("/auth", x_forwarded_method="GET", x_forwarded_uri="/quotes")[:-2]
        + b"Authorization: Bearer small\r\n\r\n"
    )
    assert read_answer(sock).status == 400 and p.r.ingress.core.counts["arrived"] == 0


def test_repeated_sub_request_is_counted_once(proxied) -> None:
    p = proxied("traefik", "ask_twice", counter=True, plans=[{"name": "open", "rate": 1, "burst": 1000}])
    assert [p.ask().status for _ in range(20)] == [200] * 20
    wait_for(lambda: p.permits["settled"] == 20)
    assert p.permits["again"] + p.permits["joined"] == 20
    assert p.r.ingress.core.counts["arrived"] == 20 and len(p.r.entries("received")) == 20


def test_repeated_sub_request_during_introspection_leads_to_one_decision(proxied) -> None:
    p = proxied("traefik", "ask_twice")
    p.r.tokens.inject(Fault(kind="slow", delay_ms=100))
    assert p.ask().status == 200
    wait_for(lambda: p.permits["settled"] == 1)
    assert p.r.ingress.core.counts["arrived"] == 1


def test_repeated_sub_request_during_the_decision_waits_for_the_first(proxied) -> None:
    p = proxied()
    core, held_back = p.r.ingress.core, []
    real, core.gateway.handle = core.gateway.handle, lambda now, event: held_back.append(event) or []
    data = p.proxy._sub_request(
        SimpleNamespace(
            headers=[(b"authorization", b"Bearer good"), (b"host", b"a")],
            method="GET",
            target=b"/quotes",
            body=b"",
            get=lambda name: b"a" if name == b"host" else None,
        ),
        b"n1",
        "1.2.3.4",
    )
    jobs = [gevent.spawn(p.proxy._exchange, p.gateway, data, 20_000.0) for _ in range(2)]
    wait_for(lambda: held_back and p.permits["joined"] == 1)
    assert len(held_back) == 1
    core.gateway.handle = real
    core.post(held_back[0])
    first, second = (job.get() for job in jobs)
    assert (first.status, first.headers) == (second.status, second.headers) and first.status == 200


@pytest.mark.parametrize(("fault", "counted"), [("report_twice", "repeated"), ("report_early", "repeated")])
def test_repeated_or_early_reports_settle_once(proxied, fault, counted) -> None:
    p = proxied("caddy", fault)
    reported: list[Any] = []
    attempt_ended = p.r.ingress.core.attempt_ended
    p.r.ingress.core.attempt_ended = lambda *a: (reported.append(a[3]), attempt_ended(*a))
    assert p.ask().status == 200
    wait_for(lambda: p.permits[counted] == 1 or p.permits["unknown"] == 1)
    wait_for(lambda: p.permits["settled"] == 1)
    assert len(reported) == 1 and not p.r.ingress.core.open_exchanges


def test_report_during_the_decision_settles_with_it(proxied) -> None:
    p = proxied()
    core, held_back = p.r.ingress.core, []
    real, core.gateway.handle = core.gateway.handle, lambda now, event: held_back.append(event) or []
    job = gevent.spawn(p.ask, tamarind_request="n1")
    wait_for(lambda: held_back)
    p.proxy._post(p.gateway, "n1", 200, 1.0, {})
    assert p.permits["noted"] == 1
    core.gateway.handle = real
    core.post(held_back[0])
    assert job.get().status == 200 and p.permits["settled"] == 1
    assert core.counts["served"] == 1 and not core.open_exchanges


def test_report_for_another_instance_settles_nothing(proxied) -> None:
    other = proxied()
    p = proxied("traefik", "report_elsewhere", instance={"index": 0, "gateways": 2}, config={"gateways": []})
    other.r.ingress.forward_front.permits.instance = 1
    p.proxy.gateways = [p.gateway, other.gateway]
    p.proxy.gateway_index = 1  # the first gateway gets the sub-request, the second the report
    assert p.ask().status == 200
    wait_for(lambda: other.permits["elsewhere"] == 1)
    assert p.permits["settled"] == 0 and len(p.r.ingress.core.open_exchanges) == 1


def test_sub_request_abandoned_by_the_proxy_is_not_counted(proxied) -> None:
    p = proxied("traefik", Fault(kind="auth_timeout", delay_ms=100))
    core, held_back = p.r.ingress.core, []
    real, core.gateway.handle = core.gateway.handle, lambda now, event: held_back.append(event) or []
    assert p.ask().status == 503
    # after a stall of the process the module gets the withdrawal some milliseconds after it was counted
    wait_for(lambda: core.counts["left"] == 1 and any(isinstance(e, RequestWithdrawn) for e in held_back))
    core.gateway.handle = real
    for event in held_back:
        core.gateway.handle(core.clock(), event)
    assert p.r.ingress.forward_front.permits.active == 0 and not core.gateway.calls
    assert not p.r.entries("received")


def test_use_reported_by_a_proxy_that_failed_open_is_charged(proxied) -> None:
    p = proxied("traefik", Fault(kind="auth_timeout", delay_ms=100), "fail_open")
    core, posted = p.r.ingress.core, []
    real = core.gateway.handle
    core.gateway.handle = lambda now, event: (
        posted.append(event) or (real(now, event) if isinstance(event, ExternalUse) else [])
    )
    # The proxy fails open.
    assert p.ask(token="small", tamarind_units="2", tamarind_request="n1").status == 200
    wait_for(lambda: p.permits["charged"] == 1)
    (external_use,) = [e for e in posted if isinstance(e, ExternalUse)]
    customer = core.gateway.customers[external_use.customer]
    assert external_use.units == 2 and customer.tokens < customer.plan.burst - 1.9


def test_report_of_use_without_a_known_customer_is_answered_so(proxied) -> None:
    p = proxied("traefik", "fail_open", introspection={"timeout_ms": 50})
    p.r.tokens.inject(Fault(kind="hang"))
    assert p.ask(tamarind_request="n1").status == 200
    wait_for(lambda: p.permits["nobody's"] == 1)
    assert p.r.ingress.core.counts["arrived"] == 0


def test_forwarded_address_from_an_untrusted_peer_is_ignored(proxied) -> None:
    p = proxied(
        networks=[
            {"network": "203.0.113.0/24", "zone": 4},
            {"network": "198.51.100.0/24", "refuse": True},
            {"network": "127.0.0.0/8", "zone": 1},
        ]
    )
    seen: list[Any] = []
    authenticate = p.r.ingress.front.authenticator.authenticate
    p.r.ingress.front.authenticator.authenticate = lambda asked, until, peer: (
        seen.append(peer) or authenticate(asked, until, peer)
    )
    p.ask(x_forwarded_for="203.0.113.7")  # sent from 127.0.0.1, which is not a trusted proxy
    assert seen == ["127.0.0.1"]
    (received,) = p.r.entries("received")
    assert received["peer"] == "127.0.2.1"


def test_network_rules_apply_to_both_fronts(rig) -> None:
    r = rig(
        forward={"trusted": ["127.0.0.0/8"], "lapse_ms": 60_000, "decide_ms": 10_000},
        networks=[{"network": "203.0.113.0/24", "zone": 4}, {"network": "198.51.100.0/24", "refuse": True}],
    )
    sock = socket.create_connection(("127.0.0.1", r.ingress.forward_listener.server_port), timeout=10)
    r.opened.append(sock)

    def ask(client: str):
        sock.sendall(
            request(
                "/auth", "GET", x_forwarded_method="GET", x_forwarded_uri="/quotes", x_forwarded_for=client
            )
        )
        return read_answer(sock)

    assert ask("203.0.113.7").headers["tamarind-zone"] == "4" and ask("198.51.100.9").status == 403
    assert "tamarind-zone" not in ask("192.0.2.1").headers
    strict = rig(networks=[{"network": "127.0.0.0/8", "refuse": True}])
    assert strict.ask().status == 403 and not strict.entries("received")


@pytest.mark.parametrize("value", [b"a\x00b", b"a\rb", b"a\nb", b"a\n b", b"x" * 65_536])
def test_invalid_header_values_are_rejected(proxied, value) -> None:
    p = proxied()
    host, port = p.gateway.split(":")
    sock = socket.create_connection((host, int(port)), timeout=10, source_address=("127.0.2.1", 0))
    p.r.opened.append(sock)
    sock.sendall(
        b"GET /auth HTTP/1.1\r\nHost: a\r\nX-Forwarded-Method: GET\r\nX-Forwarded-Uri: /quotes\r\nX-Request-Id: "
        + value
        + b"\r\nAuthorization: Bearer good\r\n\r\n"
    )
    assert read_answer(sock).status in (400, 431)
    assert p.r.ingress.core.counts["arrived"] == 0


def test_revocation_takes_effect_on_both_fronts_at_once(rig, proxied) -> None:
    p = proxied(introspection={"max_age_ms": 0})
    assert p.ask().status == p.r.ask().status == 200
    p.r.tokens.tokens.pop("good")
    assert p.ask().status == p.r.ask().status == 401
    assert len(p.r.entries("received")) == 2


class RecordingGateway(Gateway):
    """Records the units added to the counter, and those already unreported when a customer is first seen."""

    def customer_for(self, now, event):
        known = event.customer in self.customers
        customer = super().customer_for(now, event)
        if not known:
            self.initial_units = getattr(self, "initial_units", 0.0) + customer.unreported_units
        return customer

    def handle(self, now, event):
        actions = super().handle(now, event)
        self.added_units = getattr(self, "added_units", 0.0) + sum(
            a.amount for a in actions if isinstance(a, Count)
        )
        return actions


def test_counter_totals_charge_each_try_exactly_once(proxied) -> None:
    p = proxied(
        "traefik",
        Fault(kind="ask_twice", part=0.4),
        Fault(kind="report_twice", part=0.3),
        Fault(kind="report_never", part=0.3),
        counter=True,
        make=RecordingGateway,
        plans=[{"name": "open", "rate": 1, "burst": 1000}],
    )
    random, asked_units = Random(5), 0.0
    for i in range(120):
        units = random.choice((1, 2, 4))
        asked_units += units
        send = p.ask if i % 2 else p.r.ask
        assert send(tamarind_units=str(units)).status == 200
    gateway = p.r.ingress.core.gateway
    counter = p.r.counter
    wait_for(lambda: not gateway.pending_counts)
    (customer,) = gateway.customers.values()
    total = sum(counter.totals.values())
    assert total == pytest.approx(gateway.added_units)
    assert total + customer.unreported_units - gateway.initial_units == pytest.approx(asked_units)


def test_open_request_limit_of_a_plan_covers_both_fronts(proxied) -> None:
    p = proxied(
        "traefik",
        "report_never",
        plans=[{"name": "open", "rate": 0, "burst": 0, "open_limit": 3}],
        classes=[c | {"deadline_ms": 600_000} for c in CLASSES],
        limits={"stop_ms": 100},
    )
    assert [p.ask().status for _ in range(2)] == [200, 200]
    p.r.servers[0].inject(Fault(kind="hang"))
    p.r.servers[1].inject(Fault(kind="hang"))
    hanging = gevent.spawn(p.r.ask)
    wait_for(lambda: len(p.r.ingress.core.limits.customer_of) == 3)
    for answer in (p.ask(), p.r.ask()):
        assert answer.status == 429 and answer.problem["title"] == "Too many at once"
        assert int(answer.headers["tamarind-retry-after-ms"]) > 0
    hanging.kill()


def test_decision_is_limited_to_decide_ms(proxied) -> None:
    p = proxied()
    assert p.ask().status == 200  # caches the token, so that introspection takes no time below
    core, front = p.r.ingress.core, p.r.ingress.forward_front
    wait_for(lambda: not core.open_exchanges)
    front.section = msgspec.structs.replace(front.section, decide_ms=60)
    core.gateway.handle = lambda now, event: []
    answer = p.ask()
    assert (answer.status, answer.outcome) == (503, "refused")
    assert p.r.ingress.forward_front.counts["overdue"] == 1 and not core.open_exchanges


def test_front_under_pressure_rejects_the_lowest_worth_without_introspection(proxied) -> None:
    p = proxied(forward={"most_deciding": 4})
    p.r.ingress.forward_front.gate.deciding = 3
    counts_before = p.r.ingress.introspector.checker.counts.copy()
    assert p.ask().status == 503
    assert p.r.ingress.introspector.checker.counts == counts_before  # no introspection was made
    assert p.ask("/switches", "POST").status == 200
    assert p.r.ingress.forward_front.counts["pressed"] == 1


def test_in_decide_form_the_proxy_chooses_the_server(proxied) -> None:
    p = proxied("nginx", forward={"form": "decide", "hold_ms": 20}, config={"form": "decide"})
    reported: list[Any] = []
    attempt_ended = p.r.ingress.core.attempt_ended
    p.r.ingress.core.attempt_ended = lambda *a: (reported.append(a[3].name), attempt_ended(*a))
    assert p.ask().status == 200
    wait_for(lambda: reported)
    assert reported == ["CANCELLED"] and not p.r.ingress.core.open_exchanges
    assert (
        "permitted" in {e["what"] for e in p.proxy.ledger.entries}
        and p.proxy.ledger.entries_of_kind("permitted")[0]["server"] == ""
    )


# ---- health and admin


def test_health_is_answered_while_the_event_loop_is_blocked(rig) -> None:
    r = rig(admin={"stale_ms": 50})
    port = r.ingress.admin.port
    # The call blocks the event loop; the admin thread answers nevertheless.
    found = httpx.get(f"http://127.0.0.1:{port}/ready")
    assert (found.status_code, found.json()) == (200, {"status": "ready"})
    assert httpx.get(f"http://127.0.0.1:{port}/counts").json()["requests"]["arrived"] == 0
    r.ingress.last_loop_turn_s -= 60
    still = httpx.get(f"http://127.0.0.1:{port}/health")
    assert still.status_code == 503 and still.json()["turned_ms_ago"] > 50
    r.ingress.last_loop_turn_s += 3600
    assert httpx.get(f"http://127.0.0.1:{port}/health").status_code == 200
    assert httpx.get(f"http://127.0.0.1:{port}/other").status_code == 404
    r.ingress.stopping = True
    assert httpx.get(f"http://127.0.0.1:{port}/ready").json() == {"status": "stopping"}
    r.ingress.stopping = False


# ---- independent HTTP clients


def in_thread(call: Callable[[], Any]) -> Any:
    return gevent.get_hub().threadpool.apply(call)


@pytest.mark.parametrize("get", [httpx.get, requests.get], ids=["httpx", "requests"])
def test_independent_python_clients_send_sub_request_and_report(proxied, get) -> None:
    p = proxied(forward={"trusted": ["127.0.0.0/8"]})
    post = httpx.post if get is httpx.get else requests.post
    headers = {
        "X-Forwarded-Method": "GET",
        "X-Forwarded-Uri": "/quotes",
        "Authorization": "Bearer good",
        "X-Request-Id": "s",
    }
    found = in_thread(lambda: get(f"http://{p.gateway}/auth", headers=headers, timeout=10))
    assert found.status_code == 200 and found.headers["tamarind-outcome"] == "permitted"
    report = {"request": found.headers["tamarind-request"], "status": 200, "elapsed_ms": 1.0}
    settled = in_thread(lambda: post(f"http://{p.gateway}/report", json=report, timeout=10))
    assert (settled.status_code, settled.json()) == (200, {"settled": 1})
    lines = "\n".join(json.dumps(report | {"request": name}) for name in ("s", "t"))
    batch = in_thread(
        lambda: post(
            f"http://{p.gateway}/report",
            **{"content" if get is httpx.get else "data": lines.encode()},
            timeout=10,
        )
    )
    assert (batch.status_code, batch.json()) == (200, {"repeated": 1, "unknown": 1})
    refused = in_thread(
        lambda: get(f"http://{p.gateway}/auth", headers=headers | {"Authorization": "Bearer bad"}, timeout=10)
    )
    assert refused.status_code == 401 and "invalid_token" in refused.headers["www-authenticate"]


@pytest.mark.skipif(shutil.which("node") is None, reason="node is not installed")
def test_fetch_of_node_sends_sub_request_and_report(proxied) -> None:
    p = proxied(forward={"trusted": ["127.0.0.0/8"]})
    code = """
    const at = process.argv[1], out = [];
    const asked = await fetch(at + "/auth", {headers: {"x-forwarded-method": "GET", "x-forwarded-uri": "/quotes",
        "authorization": "Bearer good", "x-request-id": "n"}});
    out.push(asked.status, asked.headers.get("tamarind-outcome"));
    const reported = await fetch(at + "/report", {method: "POST", body: JSON.stringify(
        {request: asked.headers.get("tamarind-request"), status: 200, elapsed_ms: 1})});
    out.push(reported.status, await reported.json());
    console.log(JSON.stringify(out));
    """
    done = in_thread(
        lambda: subprocess.run(
            ["node", "--input-type=module", "-e", code, f"http://{p.gateway}"],
            capture_output=True,
            text=True,
            timeout=30,
        )
    )
    assert done.returncode == 0, done.stderr
    assert json.loads(done.stdout) == [200, "permitted", 200, {"settled": 1}]


# ---- the judge with proxies


def test_permit_for_a_drained_server_is_found(proxied, tmp_path) -> None:
    class IgnoringUpdates(Gateway):
        def on_fleet_update(self, now, event):
            if not self.backends:
                super().on_fleet_update(now, event)

        def choose_backend(self, now, call, max_wait_ms=0.0):
            return next(iter(self.backends.values()))

    p = proxied(make=IgnoringUpdates, plans=CAPPED)
    r = p.r
    r.ingress.core.reason_not_to_send = lambda *_: ""
    made = scenario(len(r.servers))
    address = f"127.0.0.1:{p.proxy.server.server_port}"
    (tmp_path / "ledgers").mkdir()
    load = LoadGenerator(
        made,
        SimpleNamespace(
            out=tmp_path, registry_operator=None, entry_points=[None, SimpleNamespace(address=address)]
        ),
    )
    load.ledger = type(load.ledger)()
    r.tokens.tokens["tok-c-0-0"] = {"sub": "store-1", "plan": "open", "scope": "switch quote"}

    def calls(numbers) -> None:
        gevent.joinall(
            [
                gevent.spawn(
                    load._call,
                    _Call(i, "c-0", "open", load.classes["quote"], 1, load.clock() + 3000, False),
                    1,
                    Random(i),
                )
                for i in numbers
            ],
            raise_error=True,
        )

    made = msgspec.structs.replace(made, proxies=[None])
    load.scenario = made
    calls(range(5))
    run = [{"t": 0.0, "what": "instance_up", "index": 0, "source": "127.0.0.1", "forward": p.gateway}]

    def verdicts():
        return {
            v.rule: v
            for v in judge(
                made,
                join_ledgers(
                    made,
                    load.ledger.entries,
                    [s.ledger.entries for s in r.servers],
                    r.fleet.ledger.entries,
                    run,
                    None,
                    [p.proxy.ledger.entries],
                ),
            )
        }

    assert not broken_rules(verdicts())
    updates = len(r.fleet.ledger.entries)
    r.fleet.change([ServerLine(r.servers[0].address, "draining")])
    wait_for(lambda: len(r.fleet.ledger.entries) > updates)
    until = r.ingress.steady.now() + 600
    wait_for(lambda: r.ingress.steady.now() > until)
    calls(range(5, 10))
    assert broken_rules(verdicts()) == {"drains kept"}
