"""Forward authentication without sockets: addresses, original requests, permits, reports, load shedding."""

from __future__ import annotations

from ipaddress import ip_address, ip_network

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tamarindfold.ds.prefixes import PrefixTrie, parse_address
from tamarindfold.forward.addresses import TrustedProxies
from tamarindfold.forward.gate import Gate
from tamarindfold.forward.networks import NetworkRule, NetworkRules
from tamarindfold.forward.original import OriginalRequestHeaders, parse_original_request
from tamarindfold.forward.permits import (
    Permits,
    Phase,
    ReportResult,
    SubRequestStep,
    UnpermittedUse,
    attempt_outcome,
)
from tamarindfold.forward.reports import Report, parse_reports
from tamarindfold.http1.requests import Rejected, Request
from tamarindfold.interface import Outcome
from tamarindfold.limits.open_requests import OpenRequestLimits

TRUST = TrustedProxies(["10.0.0.0/8", "fd00::/8"])


def xff(*values: bytes) -> list[tuple[bytes, bytes]]:
    return [(b"x-forwarded-for", value) for value in values]


@pytest.mark.parametrize(
    ("peer", "headers", "client"),
    [
        ("10.0.0.1", xff(b"203.0.113.7"), "203.0.113.7"),
        # entries left of the client are forged
        ("10.0.0.1", xff(b"1.2.3.4, 203.0.113.7, 10.9.9.9"), "203.0.113.7"),
        ("10.0.0.1", xff(b"1.2.3.4", b"203.0.113.7"), "203.0.113.7"),
        ("203.0.113.9", xff(b"10.0.0.5"), "203.0.113.9"),  # forged from outside
        ("10.0.0.1", [], "10.0.0.1"),
        ("10.0.0.1", xff(b"203.0.113.7:4711"), "203.0.113.7"),
        ("10.0.0.1", xff(b"2001:db8::1"), "2001:db8::1"),
        ("10.0.0.1", xff(b"[2001:db8::1]:80"), "2001:db8::1"),
        ("::ffff:10.0.0.1", xff(b"203.0.113.7"), "203.0.113.7"),
        ("10.0.0.1", [(b"forwarded", b'for=203.0.113.7;proto=https, for="[fd00::1]:80"')], "203.0.113.7"),
        ("10.0.0.1", [(b"forwarded", b"for=_hidden, For=10.1.1.1")], "0.0.0.0"),
    ],
)
def test_client_is_the_last_untrusted_hop(peer, headers, client) -> None:
    assert TRUST.client_address(peer, headers) == client


@pytest.mark.parametrize(
    "headers",
    [
        xff(b"somebody"),
        xff(b"1.2.3"),
        xff(b"1.2.3.4.5"),
        xff(b",".join([b"10.0.0.1"] * 40)),
        xff(b"\xff\x00"),
        [*xff(b"1.2.3.4"), (b"forwarded", b"for=1.2.3.4")],
        [(b"forwarded", b"proto=https")],
        [(b"forwarded", b'for="[::1"')],
    ],
)
def test_invalid_chain_is_rejected(headers) -> None:
    with pytest.raises(Rejected) as error:
        TRUST.client_address("10.0.0.1", headers)
    assert error.value.status == 400


@settings(max_examples=300)
@given(st.binary(max_size=80), st.booleans())
def test_any_header_value_gives_an_address_or_400(data, forwarded) -> None:
    try:
        found = TRUST.client_address("10.0.0.1", [(b"forwarded" if forwarded else b"x-forwarded-for", data)])
    except Rejected as error:
        assert error.status == 400
    else:
        parse_address(found)


NETWORKS = st.one_of(
    st.tuples(st.integers(0, 2**32 - 1), st.integers(0, 32)).map(
        lambda n: ip_network((n[0] >> (32 - n[1]) << (32 - n[1]), n[1]))
    ),
    st.tuples(st.integers(0, 2**128 - 1), st.integers(0, 128)).map(
        lambda n: (
            ip_network((n[0] >> (128 - n[1]) << (128 - n[1]), n[1]))
            if n[0] >= 2**64
            else ip_network("::1/128")
        )
    ),
)


@settings(max_examples=200, deadline=None)
@given(st.lists(NETWORKS, max_size=30), st.lists(st.integers(0, 2**32 - 1), max_size=10), st.data())
def test_prefix_trie_agrees_with_a_linear_scan(networks, addresses, data) -> None:
    trie: PrefixTrie[str] = PrefixTrie()
    for network in networks:
        trie.add(str(network), str(network))
    assert trie.count == len(set(networks))
    queries = [ip_address(a) for a in addresses] + [n.network_address for n in networks]
    for query in queries:
        matching = [n for n in networks if n.version == query.version and query in n]
        # an IPv6 network that covers the IPv4-mapped range matches all of IPv4
        if query.version == 4:
            mapped = ip_address("::ffff:" + str(query))
            matching += [n for n in networks if n.version == 6 and mapped in n]
        longest = max(
            ((n.prefixlen + (96 if n.version == 4 else 0), str(n)) for n in matching), default=(0, None)
        )
        found = trie.find(parse_address(str(query)))
        assert (found is None) == (longest[1] is None)
        if found is not None:
            best = ip_network(found)
            assert best.prefixlen + (96 if best.version == 4 else 0) == longest[0]


def ask(**headers: str) -> Request:
    return Request("GET", b"/auth", [(n.replace("_", "-").encode(), v.encode()) for n, v in headers.items()])


def test_original_request_is_read_from_either_header_family() -> None:
    for sub_request in (
        ask(x_forwarded_method="POST", x_forwarded_uri="/switches?a=1"),
        ask(x_original_method="POST", x_original_uri="/switches?a=1"),
    ):
        found = parse_original_request(sub_request, OriginalRequestHeaders())
        assert (found.method, found.target) == ("POST", b"/switches?a=1")


@pytest.mark.parametrize(
    "headers",
    [
        {},
        {"x_forwarded_method": "GET"},
        {"x_forwarded_uri": "/"},
        {"x_forwarded_method": "get", "x_forwarded_uri": "/"},
        {"x_forwarded_method": "GET", "x_forwarded_uri": "/a", "x_original_uri": "/b"},
        {"x_forwarded_method": "G T", "x_forwarded_uri": "/"},
        {"x_forwarded_method": "G" * 17, "x_forwarded_uri": "/"},
    ],
)
def test_ambiguous_or_incomplete_original_request_is_rejected(headers) -> None:
    with pytest.raises(Rejected):
        parse_original_request(ask(**headers), OriginalRequestHeaders())


def permits(**changes) -> Permits[str, str]:
    return Permits(
        **(
            {"instance": 1, "max_permits": 3, "max_repeats": 1, "max_ended": 4, "remember_ms": 1000.0}
            | changes
        )
    )


def report(p: Permits[str, str], name: str, now: float = 0.0, **fields):
    return p.report(Report(name, **({"status": 200, "elapsed_ms": 5.0} | fields)), now)


def test_permit_is_settled_once_or_lapses() -> None:
    p = permits()
    assert p.begin("a", "A", "d", 0)[0] is SubRequestStep.NEW and p.grant("a", "pa", 100) is None
    assert p.begin("b", "B", "d", 0)[0] is SubRequestStep.NEW and p.grant("b", "pb", 100) is None
    assert report(p, "a") == (ReportResult.SETTLED, "pa") and report(p, "a") == (ReportResult.REPEATED, None)
    assert p.lapse("a", 100, 100) is None and p.lapse("b", 99, 100) is None
    assert p.lapse("b", 100, 100) == "pb" and p.lapse("b", 100, 100) is None
    assert report(p, "b") == (ReportResult.LATE, None) and report(p, "b") == (ReportResult.REPEATED, None)
    assert report(p, "x") == (ReportResult.UNKNOWN, None) and report(p, "a", instance=2) == (
        ReportResult.OTHER_INSTANCE,
        None,
    )
    assert report(p, "a", 1200.0) == (ReportResult.UNKNOWN, None) and p.active == 0 and not p.entries


def test_repeats_of_a_name_join_or_replay_its_decision_up_to_a_limit() -> None:
    p = permits()
    assert p.begin("a", "A", "d1", 0)[0] is SubRequestStep.NEW
    step, entry = p.begin("a", "A", "d2", 0)
    assert step is SubRequestStep.JOIN and entry.decision == "d1"
    assert p.begin("a", "A", "d3", 0)[0] is SubRequestStep.RENAME  # one repeat is allowed here
    p.grant("a", "pa", 100)
    assert p.begin("a", "A", "d", 0)[0] is SubRequestStep.RENAME
    assert p.begin("b", "B", "d", 0)[0] is SubRequestStep.NEW and p.grant("b", "pb", 100) is None
    assert p.begin("b", "other", "d", 0)[0] is SubRequestStep.RENAME
    assert p.begin("b", "B", "d", 0)[0] is SubRequestStep.REPLAY
    report(p, "b")
    assert p.begin("b", "B", "d", 0)[0] is SubRequestStep.RENAME  # settled: the name is not used again


def test_report_before_the_decision() -> None:
    p = permits()
    p.begin("a", "A", "d", 0)
    p.begin("b", "B", "d", 0)
    p.begin("c", "C", "d", 0)
    assert report(p, "a") == report(p, "b") == (ReportResult.NOTED, None) and report(p, "a") == (
        ReportResult.REPEATED,
        None,
    )
    early_report = p.grant("a", "pa", 100)
    assert early_report is not None and p.report(early_report, 0) == (ReportResult.SETTLED, "pa")
    use = UnpermittedUse(7, 0, 2.0)
    assert p.refuse("b", use, 0) == use and report(p, "b") == (ReportResult.REPEATED, None)
    assert p.refuse("c", use, 0) is None and p.active == 0


def test_request_passed_without_permit_is_charged_once() -> None:
    p = permits()
    use = UnpermittedUse(7, 0, 2.0)
    p.begin("a", "A", "d", 0)
    p.refuse("a", use, 0)
    assert report(p, "a") == (ReportResult.CHARGED, use) and report(p, "a") == (ReportResult.REPEATED, None)
    p.begin("b", "B", "d", 0)
    p.refuse("b", None, 0)
    assert report(p, "b") == (ReportResult.UNATTRIBUTED, None)
    p.begin("c", "C", "d", 0)
    p.refuse("c", use, 0)
    assert p.begin("c", "C", "d", 0)[0] is SubRequestStep.NEW  # a refused name gets a new decision


def test_permits_and_remembered_names_are_bounded() -> None:
    p = permits(max_permits=2, max_ended=2)
    assert [p.begin(n, n, "d", 0)[0] for n in "abc"] == [
        SubRequestStep.NEW,
        SubRequestStep.NEW,
        SubRequestStep.LIMIT_REACHED,
    ]
    for name in "ab":
        p.refuse(name, None, 0)
    p.begin("c", "c", "d", 0)
    p.refuse("c", None, 0)
    assert report(p, "a") == (ReportResult.UNKNOWN, None) and len(p.entries) == 2


NAMES = st.sampled_from("abc")


@settings(max_examples=150, deadline=None)
@given(
    st.lists(
        st.one_of(
            st.tuples(st.just("ask"), NAMES),
            st.tuples(st.just("permit"), NAMES),
            st.tuples(st.just("refuse"), NAMES),
            st.tuples(st.just("report"), NAMES),
            st.tuples(st.just("lapse"), NAMES),
            st.tuples(st.just("wait"), NAMES),
        ),
        max_size=60,
    )
)
def test_in_any_order_each_permit_ends_once_and_each_use_is_charged_once(steps) -> None:
    p: Permits[int, str] = permits(remember_ms=30.0)
    now, number, granted, ended, charged = 0.0, 0, {}, [], []
    for step, name in steps:
        now += 10.0 if step == "wait" else 0.0
        entry = p.entries.get(name)
        deciding = entry is not None and entry.phase is Phase.DECIDING
        if step == "ask":
            p.begin(name, name, "d", now)
        elif step == "permit" and deciding:
            number += 1
            granted[number] = name, now + 20
            early_report = p.grant(name, number, now + 20)
            if early_report is not None:
                ended.append(p.report(early_report, now)[1])
        elif step == "refuse" and deciding:
            number += 1
            use = p.refuse(name, UnpermittedUse(number, 0, 1.0), now)
            charged += [use.customer] if use else []
        elif step == "report":
            result, found = p.report(Report(name, 200, 1.0), now)
            ended += [found] if result is ReportResult.SETTLED else []
            charged += [found.customer] if result is ReportResult.CHARGED else []
        elif step == "lapse" and entry is not None:
            found = p.lapse(name, entry.until_ms, now)
            ended += [found] if found is not None else []
        assert p.active == sum(e.phase in (Phase.DECIDING, Phase.HELD) for e in p.entries.values())
        assert set(p.ended) == {
            n for n, e in p.entries.items() if e.phase not in (Phase.DECIDING, Phase.HELD)
        }
    held = [e.permit for e in p.entries.values() if e.phase is Phase.HELD]
    assert sorted(ended + held) == sorted(granted) and len(set(charged)) == len(charged)


@pytest.mark.parametrize(
    ("status", "never_ran", "expected"),
    [
        (200, False, Outcome.OK),
        (404, False, Outcome.OK),
        (500, False, Outcome.ERROR),
        (0, False, Outcome.RESET),
        (503, True, Outcome.FULL),
        (0, True, Outcome.CONNECT_FAILED),
    ],
)
def test_reported_status_maps_to_an_attempt_outcome(status, never_ran, expected) -> None:
    assert attempt_outcome(Report("a", status, 1.0, never_ran=never_ran)) is expected


def test_one_report_per_line() -> None:
    line = b'{"request":"a","status":200,"elapsed_ms":1.5,"units":2,"instance":1}'
    assert parse_reports(line + b"\n\n" + line.replace(b'"a"', b'"b"') + b"\n") == [
        Report("a", 200, 1.5, 2.0, False, 1),
        Report("b", 200, 1.5, 2.0, False, 1),
    ]


@pytest.mark.parametrize(
    ("body", "message"),
    [
        (b"", "empty"),
        (b"{}", "line 1"),
        (b'{"request":"a","status":99,"elapsed_ms":1}', "99"),
        (b'{"request":"a","status":200,"elapsed_ms":-1}', "elapsed_ms"),
        (b"\xff\xfe", "line 1"),
        (b'{"request":"a","status":200,"elapsed_ms":1,"units":-2}', "units"),
        (b"[]", "line 1"),
        (b'{"request":"a","status":200,"elapsed_ms":1}\n{"request":7}', "line 2"),
        (b"{}\n" * 1001, "1000"),
    ],
)
def test_invalid_report_is_rejected(body, message) -> None:
    with pytest.raises(Rejected, match=message):
        parse_reports(body)


def test_gate_keeps_capacity_for_classes_of_higher_worth() -> None:
    gate = Gate([1.0, 9.0, 5.0], max_deciding=8, decide_ms=100, seed=1)
    assert [gate.enter(0) is None for _ in range(6)] == [True] * 4 + [False] * 2
    assert [gate.enter(2) is None for _ in range(3)] == [True] * 2 + [False]
    assert [gate.enter(1) is None for _ in range(3)] == [True] * 2 + [False]
    gate.leave()
    assert gate.enter(0) is not None and gate.enter(1) is None
    assert gate.refused == [3, 1, 1]


def test_loop_lag_refuses_classes_of_lower_worth_first() -> None:
    gate = Gate([1.0, 9.0], max_deciding=8, decide_ms=100, seed=1)
    gate.record_lag(60)
    assert gate.enter(0) is not None and gate.enter(1) is None
    gate.record_lag(150)
    waits = [gate.enter(1) for _ in range(20)]
    assert all(w is not None and 300 <= w <= 600 for w in waits) and len(set(waits)) == 20
    for _ in range(10):
        gate.record_lag(0)
    assert gate.enter(0) is None


def test_longest_matching_network_applies() -> None:
    rules = NetworkRules(
        [
            ("10.0.0.0/8", NetworkRule(zone=1)),
            ("10.1.0.0/16", NetworkRule(refuse=True)),
            ("2001:db8::/32", NetworkRule(zone=2)),
        ]
    )
    assert rules.find("10.2.0.1") == NetworkRule(zone=1) and rules.find("::ffff:10.1.2.3") == NetworkRule(
        refuse=True
    )
    assert (
        rules.find("2001:db8::9") == NetworkRule(zone=2)
        and rules.find("192.0.2.1") is None
        and rules.find("who") is None
    )


# ---- open requests


def test_local_limits_add_up_to_the_limit() -> None:
    for gateways, width, limit, customer in ((5, 3, 10, 8), (4, 4, 6, 3), (3, 3, 3, 1)):
        parts = [OpenRequestLimits(gateways, i).local_limit(limit, customer, width) for i in range(gateways)]
        first = customer % gateways
        assert sum(parts[(first + i) % gateways] for i in range(width)) == limit
    assert [OpenRequestLimits(3, i).local_limit(1, 0, 3) for i in range(3)] == [1, 1, 1]  # at least one each


def test_open_requests_count_until_released_or_expired() -> None:
    limits = OpenRequestLimits(1, 0)
    assert limits.acquire(1, 7, 2, 1, 0, 100) is None and limits.acquire(2, 7, 2, 1, 0, 300) is None
    waits = [limits.acquire(n, 7, 2, 1, 0, 300) for n in (3, 4, 5)]
    assert waits == [50.0, 100.0, 150.0]  # a mean hold of 100 ms over two slots
    assert limits.acquire(6, 8, 2, 1, 0, 300) is None  # another customer
    limits.release(2, 40)
    limits.release(2, 40)
    assert limits.acquire(7, 7, 2, 1, 50, 400) is None and limits.acquire(8, 7, 2, 1, 50, 400) is not None
    assert limits.acquire(9, 7, 2, 1, 100, 500) is None and limits.expired == 1  # the first has expired
    limits.release(1, 120)
    limits.sweep(1000)
    assert not limits.customers and not limits.customer_of


@settings(max_examples=100, deadline=None)
@given(
    st.lists(st.tuples(st.integers(0, 30), st.integers(0, 3), st.booleans(), st.integers(1, 60)), max_size=80)
)
def test_open_requests_never_exceed_the_limit(steps) -> None:
    limits, now, open_requests, number = OpenRequestLimits(2, 1), 0.0, {}, 0
    for elapsed, customer, release, duration in steps:
        now += elapsed
        for request, (_, until) in list(open_requests.items()):
            if until <= now:
                del open_requests[request]
        if release and open_requests:
            request = next(iter(open_requests))
            limits.release(request, now)
            del open_requests[request]
            continue
        number += 1
        free = limits.local_limit(5, customer, 2) - sum(c == customer for c, _ in open_requests.values())
        wait = limits.acquire(number, customer, 5, 2, now, now + duration)
        assert (wait is None) == (free > 0) and (wait is None or wait > 0)
        if wait is None:
            open_requests[number] = customer, now + duration
    assert sum(len(h.open) for h in limits.customers.values()) >= len(open_requests)
    assert all(len(h.ends) <= 3 * len(h.open) + 17 for h in limits.customers.values())


def test_original_request_below_a_path_prefix() -> None:
    names = OriginalRequestHeaders.from_config(
        ["x-forwarded-method"], ["x-forwarded-uri"], ["x-forwarded-host"], "/auth", ["shop.example"]
    )
    sub_request = Request("POST", b"/auth/switches?a=1", [(b"host", b"Shop.example:443")])
    found = parse_original_request(sub_request, names)
    assert (found.method, found.target) == ("POST", b"/switches?a=1")
    sub_request.headers.append((b"x-forwarded-uri", b"/quotes"))
    with pytest.raises(Rejected, match="differ"):
        parse_original_request(sub_request, names)
    with pytest.raises(Rejected, match="host"):
        parse_original_request(Request("POST", b"/auth/switches", [(b"host", b"other.example")]), names)
