"""Token parsing and the token checker, without sockets."""

from __future__ import annotations

import json

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tamarindfold.introspection import bearer
from tamarindfold.introspection.checker import (
    Active,
    CheckRequested,
    Inactive,
    LookUp,
    LookUpFailed,
    LookUpSucceeded,
    Notify,
    Rules,
    TokenChecker,
    Unknown,
    WaiterTimedOut,
)
from tamarindfold.introspection.claims import BadAnswer, Claims, parse_answer, validity_error

A, B = b"a", b"b"


def checker(**rules) -> TokenChecker:
    return TokenChecker(Rules(**rules), 1)


def answer(**members) -> bytes:
    return json.dumps({"active": True} | members).encode()


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"yes",
        b"[]",
        b"{}",
        b'{"active":"true"}',
        b'{"active":1}',
        b'{"active":null}',
        b"\xff\xfe",
        answer(exp="soon"),
        answer(exp=True),
        answer(nbf=[1]),
        answer(scope=["a"]),
        answer(sub=7),
        answer(aud=5),
        answer(aud=["a", 5]),
        answer(iss=1),
        answer(client_id={}),
    ],
)
def test_malformed_answer_is_rejected(body) -> None:
    with pytest.raises(BadAnswer):
        parse_answer(body)


def test_rfc_7662_members_are_parsed() -> None:
    claims = parse_answer(
        answer(exp=10, nbf=2.5, scope="a b", client_id="c", sub="s", aud="x", iss="i", plan="p", n=4)
    )
    assert claims == Claims(10_000, 2_500, frozenset("ab"), "c", "s", ("x",), "i", claims.extra)
    assert (claims.text_claim("plan"), claims.text_claim("n"), claims.text_claim("none")) == ("p", "4", "")
    assert parse_answer(b'{"active":false,"sub":7}') is None
    assert parse_answer(answer(token_type="DPoP")) is None
    assert parse_answer(answer(token_type="bearer")) is not None


@pytest.mark.parametrize(
    ("claims", "expected"),
    [
        (Claims(expires_ms=1000), "expired"),
        (Claims(not_before_ms=1001.0), "not valid yet"),
        (Claims(audiences=("other",)), "audience"),
        (Claims(audiences=("here",), issuer="other"), "issuer"),
    ],
)
def test_invalid_claims_are_explained(claims, expected) -> None:
    assert expected in validity_error(claims, 1000.0, "here", "us", 0.0)


@pytest.mark.parametrize(
    ("header", "found"),
    [
        (None, None),
        (b"Basic abc", None),
        (b"Bearer abc", b"abc"),
        (b"bearer a-._~+/9==", b"a-._~+/9=="),
    ],
)
def test_bearer_token_is_parsed(header, found) -> None:
    assert bearer.parse_authorization(header) == found


@pytest.mark.parametrize(
    "header", [b"Bearer", b"Bearer ", b"Bearer a b", b"Bearer a,b", b"Bearer =a", b"Bearer " + b"a" * 5000]
)
def test_malformed_bearer_token_is_rejected(header) -> None:
    with pytest.raises(bearer.BadCredentials):
        bearer.parse_authorization(header)


def test_concurrent_requests_share_one_look_up() -> None:
    c = checker()
    assert c.handle(0, CheckRequested(A, 1)) == [LookUp(A, 1_000)]
    assert c.handle(1, CheckRequested(A, 2)) == []
    good = Claims()
    assert c.handle(2, LookUpSucceeded(A, good)) == [Notify(1, Active(good)), Notify(2, Active(good))]
    assert c.handle(3, CheckRequested(A, 3)) == [Notify(3, Active(good))]
    assert c.counts["joined"] == 1


def test_negative_answers_expire_early_and_do_not_evict_positive_ones() -> None:
    c = checker(negative_entries=2, negative_age_ms=100, cache_entries=2)
    c.handle(0, CheckRequested(A, 0))
    c.handle(0, LookUpSucceeded(A, Claims()))
    for i in range(50):
        key = b"bad%d" % i
        c.handle(1, CheckRequested(key, i))
        assert c.handle(1, LookUpSucceeded(key, None)) == [Notify(i, Inactive("the token is not active"))]
    assert len(c.negative_cache) == 2
    assert c.handle(2, CheckRequested(A, 1)) == [Notify(1, Active(Claims()))]
    assert c.handle(50, CheckRequested(b"bad49", 2)) == [Notify(2, Inactive("the token is not active"))]
    assert c.handle(102, CheckRequested(b"bad49", 3)) == [LookUp(b"bad49", 1_000)]


def test_token_not_valid_yet_is_looked_up_again_at_nbf() -> None:
    c = checker()
    c.handle(0, CheckRequested(A, 0))
    (notification,) = c.handle(0, LookUpSucceeded(A, Claims(not_before_ms=50)))
    assert notification == Notify(0, Inactive("the token is not valid yet"))
    assert c.handle(50, CheckRequested(A, 1)) == [LookUp(A, 1_000)]


def test_look_ups_in_flight_and_waiters_are_bounded() -> None:
    c = checker(most_in_flight=2, most_waiting=3)
    started = [c.handle(0, CheckRequested(bytes([i]), i)) for i in range(4)]
    assert [len(s) for s in started[:3]] == [1, 1, 0]
    assert isinstance(started[3][0].status, Unknown)
    actions = c.handle(1, LookUpSucceeded(bytes([0]), None))
    assert LookUp(bytes([2]), 1_000) in actions


def test_queued_look_up_is_dropped_when_its_only_waiter_times_out() -> None:
    c = checker(most_in_flight=1)
    c.handle(0, CheckRequested(A, 1))
    c.handle(0, CheckRequested(B, 2))
    (notification,) = c.handle(5, WaiterTimedOut(B, 2))
    assert isinstance(notification.status, Unknown)
    assert c.handle(6, LookUpSucceeded(A, None)) == [Notify(1, Inactive("the token is not active"))]
    assert not c.pending and not c.queue and not c.waiting


def test_breaker_opens_after_repeated_failures_and_closes_after_one_successful_trial() -> None:
    c = checker(trip_after=3, trip_ms=1000, most_in_flight=4)
    for i in range(3):
        c.handle(i, CheckRequested(bytes([i]), i))
        (notification,) = c.handle(i, LookUpFailed(bytes([i]), "down"))
        assert isinstance(notification.status, Unknown) and notification.status.retry_after_ms > 0
    (notification,) = c.handle(4, CheckRequested(A, 9))
    assert notification.status.reason == "the token check is down"
    after = c.open_until + 1
    assert c.handle(after, CheckRequested(A, 10)) == [LookUp(A, 1_000)]
    assert c.handle(after, CheckRequested(B, 11)) == []  # half-open: one trial at a time
    actions = c.handle(after + 1, LookUpSucceeded(A, None))
    assert actions == [Notify(10, Inactive("the token is not active")), LookUp(B, 1_000)]
    assert c.failures == 0


def test_failed_trial_rejects_the_queue_at_once_and_doubles_the_open_time() -> None:
    c = checker(trip_after=1, trip_ms=100, trip_most_ms=10_000)
    c.handle(0, CheckRequested(A, 1))
    c.handle(0, LookUpFailed(A, "down"))
    first = c.open_ms
    after = c.open_until + 1
    c.handle(after, CheckRequested(A, 2))
    c.handle(after, CheckRequested(B, 3))
    notifications = c.handle(after + 5, LookUpFailed(A, "down"))
    assert [n.waiter for n in notifications] == [2, 3]
    assert c.open_ms == 2 * first and not c.queue and not c.waiting


def test_answer_in_use_is_refreshed_before_it_expires() -> None:
    c = checker(max_age_ms=1000)
    c.handle(0, CheckRequested(A, 1))
    c.handle(0, LookUpSucceeded(A, Claims()))
    assert c.handle(700, CheckRequested(A, 2)) == [Notify(2, Active(Claims()))]
    assert c.handle(900, CheckRequested(A, 3)) == [Notify(3, Active(Claims())), LookUp(A, 1_000)]
    assert c.handle(950, CheckRequested(A, 4)) == [Notify(4, Active(Claims()))]
    assert c.handle(960, LookUpFailed(A, "down")) == []
    assert c.handle(970, LookUpFailed(A, "down")) == []  # a second result of the same lookup is ignored
    assert c.in_flight == 0


def test_negative_answer_of_a_refresh_takes_effect_at_once() -> None:
    c = checker(max_age_ms=1000)
    c.handle(0, CheckRequested(A, 1))
    c.handle(0, LookUpSucceeded(A, Claims()))
    c.handle(900, CheckRequested(A, 2))
    c.handle(901, LookUpSucceeded(A, None))
    assert c.handle(902, CheckRequested(A, 3)) == [Notify(3, Inactive("the token is not active"))]


events = st.lists(
    st.tuples(
        st.sampled_from(["check", "active", "inactive", "fail", "time_out", "wait"]),
        st.integers(0, 5),
        st.integers(1, 400),
        st.booleans(),
    ),
    max_size=80,
)


@settings(max_examples=300, deadline=None)
@given(events, st.integers(1, 3), st.integers(0, 500))
def test_every_waiter_is_notified_once_within_the_limits(steps, max_in_flight, stale_ms) -> None:
    """In any order of events: each waiter is notified exactly once, no token is active past exp, the limits
    hold, and no token has two lookups in flight."""
    c = checker(
        most_in_flight=max_in_flight,
        most_waiting=6,
        cache_entries=3,
        negative_entries=2,
        max_age_ms=300,
        negative_age_ms=50,
        stale_ms=stale_ms,
        trip_after=2,
        trip_ms=100,
    )
    now, waiter = 0.0, 0
    outstanding: dict[int, bytes] = {}
    in_flight_keys: set[bytes] = set()
    for step, number, duration_ms, stale_ok in steps:
        key = bytes([number])
        if step == "wait":
            now += duration_ms
            continue
        if step == "check":
            waiter += 1
            outstanding[waiter] = key
            event = CheckRequested(key, waiter, stale_ok)
        elif step == "time_out":
            waiters = [w for w, k in outstanding.items() if k == key]
            if not waiters:
                continue
            event = WaiterTimedOut(key, waiters[0])
        elif key not in in_flight_keys:
            continue
        else:
            in_flight_keys.discard(key)
            claims = Claims(expires_ms=now + duration_ms)
            event = (
                LookUpFailed(key, "down")
                if step == "fail"
                else LookUpSucceeded(key, claims if step == "active" else None)
            )
        for action in c.handle(now, event):
            if isinstance(action, LookUp):
                assert action.key not in in_flight_keys
                in_flight_keys.add(action.key)
            else:
                del outstanding[action.waiter]
                if isinstance(action.status, Active):
                    assert now < action.status.claims.expires_ms
        assert len(in_flight_keys) == c.in_flight <= max_in_flight
        assert len(c.active_cache) <= 3 and len(c.negative_cache) <= 2
        assert c.waiting == len(outstanding) == sum(len(p.waiters) for p in c.pending.values()) <= 6
