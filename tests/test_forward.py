"""Forward authentication without sockets: addresses, the original request, leases."""

from __future__ import annotations

from ipaddress import ip_address, ip_network

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tamarindfold.ds.prefixes import PrefixTrie, parse_address
from tamarindfold.forward.addresses import Trust
from tamarindfold.forward.gate import Gate
from tamarindfold.forward.networks import Networks, Rule
from tamarindfold.forward.original import Names, original
from tamarindfold.forward.permits import Ask, Owed, Permits, Phase, Told, outcome
from tamarindfold.forward.reports import Report, read
from tamarindfold.http1.requests import Rejected, Request
from tamarindfold.interface import Outcome
from tamarindfold.limits.open_requests import OpenRequestLimits

TRUST = Trust(["10.0.0.0/8", "fd00::/8"])


def xff(*values: bytes) -> list[tuple[bytes, bytes]]:
    return [(b"x-forwarded-for", value) for value in values]


@pytest.mark.parametrize(
    ("peer", "headers", "client"),
    [
        ("10.0.0.1", xff(b"203.0.113.7"), "203.0.113.7"),
        ("10.0.0.1", xff(b"1.2.3.4, 203.0.113.7, 10.9.9.9"), "203.0.113.7"),  # what is left of it is invented
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
def test_the_chain_is_walked_from_the_right(peer, headers, client) -> None:
    assert TRUST.client(peer, headers) == client


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
def test_a_chain_that_is_none_is_turned_away(headers) -> None:
    with pytest.raises(Rejected) as error:
        TRUST.client("10.0.0.1", headers)
    assert error.value.status == 400


@settings(max_examples=300)
@given(st.binary(max_size=80), st.booleans())
def test_any_bytes_are_an_address_or_a_400(data, forwarded) -> None:
    try:
        found = TRUST.client("10.0.0.1", [(b"forwarded" if forwarded else b"x-forwarded-for", data)])
    except Rejected as fault:
        assert fault.status == 400
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
def test_the_trie_finds_what_a_scan_finds(networks, addresses, data) -> None:
    trie: PrefixTrie[str] = PrefixTrie()
    for network in networks:
        trie.add(str(network), str(network))
    assert trie.count == len(set(networks))
    wanted = [ip_address(a) for a in addresses] + [n.network_address for n in networks]
    for one in wanted:
        holding = [n for n in networks if n.version == one.version and one in n]
        # an IPv6 network as wide as the mapped range holds all of IPv4
        if one.version == 4:
            mapped = ip_address("::ffff:" + str(one))
            holding += [n for n in networks if n.version == 6 and mapped in n]
        length = max(
            ((n.prefixlen + (96 if n.version == 4 else 0), str(n)) for n in holding), default=(0, None)
        )
        found = trie.find(parse_address(str(one)))
        assert (found is None) == (length[1] is None)
        if found is not None:
            best = ip_network(found)
            assert best.prefixlen + (96 if best.version == 4 else 0) == length[0]


def ask(**headers: str) -> Request:
    return Request("GET", b"/auth", [(n.replace("_", "-").encode(), v.encode()) for n, v in headers.items()])


def test_the_original_request_by_either_name() -> None:
    for asked in (
        ask(x_forwarded_method="POST", x_forwarded_uri="/switches?a=1"),
        ask(x_original_method="POST", x_original_uri="/switches?a=1"),
    ):
        found = original(asked, Names())
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
def test_an_original_request_that_cannot_be_told(headers) -> None:
    with pytest.raises(Rejected):
        original(ask(**headers), Names())


def permits(**changes) -> Permits[str, str]:
    return Permits(
        **({"index": 1, "most": 3, "most_repeats": 1, "most_ended": 4, "remember_ms": 1000.0} | changes)
    )


def told(p: Permits[str, str], name: str, now: float = 0.0, **fields):
    return p.report(Report(name, **({"status": 200, "elapsed_ms": 5.0} | fields)), now)


def test_a_permit_is_settled_once_or_lapses_and_is_nobodys_fault() -> None:
    p = permits()
    assert p.ask("a", "A", "d", 0)[0] is Ask.NEW and p.permit("a", "pa", 100) is None
    assert p.ask("b", "B", "d", 0)[0] is Ask.NEW and p.permit("b", "pb", 100) is None
    assert told(p, "a") == (Told.SETTLED, "pa") and told(p, "a") == (Told.REPEATED, None)
    assert p.lapse("a", 100, 100) is None and p.lapse("b", 99, 100) is None
    assert p.lapse("b", 100, 100) == "pb" and p.lapse("b", 100, 100) is None
    assert told(p, "b") == (Told.LATE, None) and told(p, "b") == (Told.REPEATED, None)
    assert told(p, "x") == (Told.UNKNOWN, None) and told(p, "a", instance=2) == (Told.ELSEWHERE, None)
    assert told(p, "a", 1200.0) == (Told.UNKNOWN, None) and p.active == 0 and not p.names


def test_a_name_is_decided_once_and_worn_out_by_more() -> None:
    p = permits()
    assert p.ask("a", "A", "d1", 0)[0] is Ask.NEW
    how, entry = p.ask("a", "A", "d2", 0)
    assert how is Ask.JOIN and entry.decision == "d1"
    assert p.ask("a", "A", "d3", 0)[0] is Ask.OTHER  # one repeat is allowed here
    p.permit("a", "pa", 100)
    assert p.ask("a", "A", "d", 0)[0] is Ask.OTHER
    assert p.ask("b", "B", "d", 0)[0] is Ask.NEW and p.permit("b", "pb", 100) is None
    assert p.ask("b", "other", "d", 0)[0] is Ask.OTHER
    assert p.ask("b", "B", "d", 0)[0] is Ask.AGAIN
    told(p, "b")
    assert p.ask("b", "B", "d", 0)[0] is Ask.OTHER  # settled: no second use under its name


def test_a_report_before_the_decisions_answer() -> None:
    p = permits()
    p.ask("a", "A", "d", 0)
    p.ask("b", "B", "d", 0)
    p.ask("c", "C", "d", 0)
    assert told(p, "a") == told(p, "b") == (Told.NOTED, None) and told(p, "a") == (Told.REPEATED, None)
    early = p.permit("a", "pa", 100)
    assert early is not None and p.report(early, 0) == (Told.SETTLED, "pa")
    owed = Owed(7, 0, 2.0)
    assert p.refuse("b", owed, 0) == owed and told(p, "b") == (Told.REPEATED, None)
    assert p.refuse("c", owed, 0) is None and p.active == 0


def test_what_was_refused_and_let_through_is_owed_once() -> None:
    p = permits()
    owed = Owed(7, 0, 2.0)
    p.ask("a", "A", "d", 0)
    p.refuse("a", owed, 0)
    assert told(p, "a") == (Told.CHARGED, owed) and told(p, "a") == (Told.REPEATED, None)
    p.ask("b", "B", "d", 0)
    p.refuse("b", None, 0)
    assert told(p, "b") == (Told.NOBODYS, None)
    p.ask("c", "C", "d", 0)
    p.refuse("c", owed, 0)
    assert p.ask("c", "C", "d", 0)[0] is Ask.NEW  # refused, and asked again: decided again


def test_permits_and_memory_are_bounded() -> None:
    p = permits(most=2, most_ended=2)
    assert [p.ask(n, n, "d", 0)[0] for n in "abc"] == [Ask.NEW, Ask.NEW, Ask.FULL]
    for name in "ab":
        p.refuse(name, None, 0)
    p.ask("c", "c", "d", 0)
    p.refuse("c", None, 0)
    assert told(p, "a") == (Told.UNKNOWN, None) and len(p.names) == 2


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
def test_in_any_order_each_permit_ends_once_and_what_passed_is_counted_once(steps) -> None:
    p: Permits[int, str] = permits(remember_ms=30.0)
    now, number, given_out, ended, owed_for = 0.0, 0, {}, [], []
    for what, name in steps:
        now += 10.0 if what == "wait" else 0.0
        entry = p.names.get(name)
        deciding = entry is not None and entry.phase is Phase.DECIDING
        if what == "ask":
            p.ask(name, name, "d", now)
        elif what == "permit" and deciding:
            number += 1
            given_out[number] = name, now + 20
            early = p.permit(name, number, now + 20)
            if early is not None:
                ended.append(p.report(early, now)[1])
        elif what == "refuse" and deciding:
            number += 1
            passed = p.refuse(name, Owed(number, 0, 1.0), now)
            owed_for += [passed.customer] if passed else []
        elif what == "report":
            how, found = p.report(Report(name, 200, 1.0), now)
            ended += [found] if how is Told.SETTLED else []
            owed_for += [found.customer] if how is Told.CHARGED else []
        elif what == "lapse" and entry is not None:
            found = p.lapse(name, entry.until_ms, now)
            ended += [found] if found is not None else []
        assert p.active == sum(e.phase in (Phase.DECIDING, Phase.HELD) for e in p.names.values())
        assert set(p.ended) == {n for n, e in p.names.items() if e.phase not in (Phase.DECIDING, Phase.HELD)}
    held = [e.permit for e in p.names.values() if e.phase is Phase.HELD]
    assert sorted(ended + held) == sorted(given_out) and len(set(owed_for)) == len(owed_for)


@pytest.mark.parametrize(
    ("status", "never_ran", "how"),
    [
        (200, False, Outcome.OK),
        (404, False, Outcome.OK),
        (500, False, Outcome.ERROR),
        (0, False, Outcome.RESET),
        (503, True, Outcome.FULL),
        (0, True, Outcome.CONNECT_FAILED),
    ],
)
def test_what_a_report_says_of_the_server(status, never_ran, how) -> None:
    assert outcome(Report("a", status, 1.0, never_ran=never_ran)) is how


def test_reports_by_the_line() -> None:
    one = b'{"request":"a","status":200,"elapsed_ms":1.5,"units":2,"instance":1}'
    assert read(one + b"\n\n" + one.replace(b'"a"', b'"b"') + b"\n") == [
        Report("a", 200, 1.5, 2.0, False, 1),
        Report("b", 200, 1.5, 2.0, False, 1),
    ]


@pytest.mark.parametrize(
    ("body", "says"),
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
def test_a_report_that_is_none(body, says) -> None:
    with pytest.raises(Rejected, match=says):
        read(body)


def test_the_gate_keeps_room_for_what_is_worth_more() -> None:
    gate = Gate([1.0, 9.0, 5.0], most=8, decide_ms=100, seed=1)
    assert [gate.enter(0) is None for _ in range(6)] == [True] * 4 + [False] * 2
    assert [gate.enter(2) is None for _ in range(3)] == [True] * 2 + [False]
    assert [gate.enter(1) is None for _ in range(3)] == [True] * 2 + [False]
    gate.leave()
    assert gate.enter(0) is not None and gate.enter(1) is None
    assert gate.turned_away == [3, 1, 1]


def test_a_late_loop_turns_away_the_least_first_and_recovers() -> None:
    gate = Gate([1.0, 9.0], most=8, decide_ms=100, seed=1)
    gate.felt(60)
    assert gate.enter(0) is not None and gate.enter(1) is None
    gate.felt(150)
    waits = [gate.enter(1) for _ in range(20)]
    assert all(w is not None and 300 <= w <= 600 for w in waits) and len(set(waits)) == 20
    for _ in range(10):
        gate.felt(0)
    assert gate.enter(0) is None


def test_networks_by_the_longest() -> None:
    nets = Networks(
        [("10.0.0.0/8", Rule(zone=1)), ("10.1.0.0/16", Rule(refuse=True)), ("2001:db8::/32", Rule(zone=2))]
    )
    assert nets.find("10.2.0.1") == Rule(zone=1) and nets.find("::ffff:10.1.2.3") == Rule(refuse=True)
    assert (
        nets.find("2001:db8::9") == Rule(zone=2)
        and nets.find("192.0.2.1") is None
        and nets.find("who") is None
    )


# ---- open requests


def test_the_parts_of_a_limit_add_up_to_it() -> None:
    for gateways, width, limit, customer in ((5, 3, 10, 8), (4, 4, 6, 3), (3, 3, 3, 1)):
        parts = [OpenRequestLimits(gateways, i).local_limit(limit, customer, width) for i in range(gateways)]
        first = customer % gateways
        assert sum(parts[(first + i) % gateways] for i in range(width)) == limit
    assert [OpenRequestLimits(3, i).local_limit(1, 0, 3) for i in range(3)] == [1, 1, 1]  # never none at all


def test_open_requests_are_held_until_their_end_or_their_time() -> None:
    limits = OpenRequestLimits(1, 0)
    assert limits.acquire(1, 7, 2, 1, 0, 100) is None and limits.acquire(2, 7, 2, 1, 0, 300) is None
    waits = [limits.acquire(n, 7, 2, 1, 0, 300) for n in (3, 4, 5)]
    assert waits == [50.0, 100.0, 150.0]  # a mean hold of 100 ms over two places
    assert limits.acquire(6, 8, 2, 1, 0, 300) is None  # another customer
    limits.release(2, 40)
    limits.release(2, 40)
    assert limits.acquire(7, 7, 2, 1, 50, 400) is None and limits.acquire(8, 7, 2, 1, 50, 400) is not None
    assert limits.acquire(9, 7, 2, 1, 100, 500) is None and limits.expired == 1  # the first ran out
    limits.release(1, 120)
    limits.sweep(1000)
    assert not limits.customers and not limits.customer_of


@settings(max_examples=100, deadline=None)
@given(
    st.lists(st.tuples(st.integers(0, 30), st.integers(0, 3), st.booleans(), st.integers(1, 60)), max_size=80)
)
def test_never_more_open_than_the_limit(steps) -> None:
    limits, now, open_by, number = OpenRequestLimits(2, 1), 0.0, {}, 0
    for gone, customer, ends, lasts in steps:
        now += gone
        for request, (_, until) in list(open_by.items()):
            if until <= now:
                del open_by[request]
        if ends and open_by:
            request = next(iter(open_by))
            limits.release(request, now)
            del open_by[request]
            continue
        number += 1
        free = limits.local_limit(5, customer, 2) - sum(c == customer for c, _ in open_by.values())
        wait = limits.acquire(number, customer, 5, 2, now, now + lasts)
        assert (wait is None) == (free > 0) and (wait is None or wait > 0)
        if wait is None:
            open_by[number] = customer, now + lasts
    assert sum(len(h.open) for h in limits.customers.values()) >= len(open_by)
    assert all(len(h.ends) <= 3 * len(h.open) + 17 for h in limits.customers.values())


def test_an_original_request_below_a_prefix() -> None:
    names = Names.of(
        ["x-forwarded-method"], ["x-forwarded-uri"], ["x-forwarded-host"], "/auth", ["shop.example"]
    )
    asked = Request("POST", b"/auth/switches?a=1", [(b"host", b"Shop.example:443")])
    found = original(asked, names)
    assert (found.method, found.target) == ("POST", b"/switches?a=1")
    asked.headers.append((b"x-forwarded-uri", b"/quotes"))
    with pytest.raises(Rejected, match="differ"):
        original(asked, names)
    with pytest.raises(Rejected, match="host"):
        original(Request("POST", b"/auth/switches", [(b"host", b"other.example")]), names)
