"""Matching of replies with counter calls on a pipelined connection."""

from __future__ import annotations

import hiredis
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tamarindfold.counter.pipeline import IncrByFloat, Pipeline, part_index
from tamarindfold.interface import Count, CountAnswered, Outcome


def pipeline(max_pending: int = 10) -> Pipeline:
    made = Pipeline(30.0, max_pending, IncrByFloat("tf"))
    made.connected = True
    return made


def test_call_is_one_write_of_two_commands() -> None:
    data = pipeline().call(0, Count(255, 1.5, 60_000))
    reader = hiredis.Reader()
    reader.feed(data)
    assert reader.gets() == [b"INCRBYFLOAT", b"tf:ff", b"1.5"]
    assert reader.gets() == [b"PEXPIRE", b"tf:ff", b"60000", b"NX"]


def test_call_without_connection_fails_as_never_run() -> None:
    p = Pipeline(30.0, 10, IncrByFloat("tf"))
    assert p.call(5, Count(1, 1, 1)).outcome is Outcome.CONNECT_FAILED


def test_call_beyond_max_pending_is_rejected() -> None:
    p = pipeline(1)
    p.call(0, Count(1, 1, 1))
    assert p.call(0, Count(1, 1, 1)).outcome is Outcome.FULL


@pytest.mark.parametrize(
    ("value", "outcome"),
    [
        (b"2.5", Outcome.OK),
        (3, Outcome.OK),
        (hiredis.ReplyError("LOADING"), Outcome.FULL),
        (b"nan", Outcome.ERROR),
        (b"what", Outcome.ERROR),
        (None, Outcome.ERROR),
        ([1], Outcome.ERROR),
    ],
)
def test_outcome_of_each_kind_of_reply(value, outcome) -> None:
    p = pipeline()
    p.call(0, Count(7, 1, 1))
    (answer,) = p.replies(4, [value, 1])
    assert (answer.name, answer.outcome, answer.elapsed_ms) == (7, outcome, 4)


def test_reply_without_call_is_an_error() -> None:
    with pytest.raises(ValueError, match="no call"):
        pipeline().replies(0, [b"1"])


def test_connection_with_overdue_replies_is_stuck_and_its_loss_fails_calls() -> None:
    p = pipeline()
    p.call(0, Count(1, 1, 1))
    p.call(0, Count(2, 1, 1))
    p.replies(1, [b"1", 1])
    assert [a.outcome for a in p.due(30)] == [Outcome.TIMEOUT]
    assert not p.stuck(149) and p.stuck(150)
    p.call(599, Count(3, 1, 1))
    assert [(a.name, a.outcome) for a in p.lost(600)] == [(3, Outcome.RESET)]
    assert p.call(601, Count(3, 1, 1)).outcome is Outcome.CONNECT_FAILED


def test_names_are_spread_evenly_and_consistently_over_parts() -> None:
    names = [epoch << 33 | customer for epoch in range(3) for customer in range(1000)]
    counts = [sum(part_index(n, 4) == part for n in names) for part in range(4)]
    assert min(counts) > 600
    assert [part_index(n, 4) for n in names] == [part_index(n, 4) for n in names]


steps = st.lists(
    st.tuples(st.sampled_from(["call", "reply", "wait", "lose"]), st.integers(0, 3)), max_size=60
)


@settings(max_examples=300, deadline=None)
@given(steps)
def test_each_call_is_answered_once_and_by_its_own_reply(script) -> None:
    p, now, number = pipeline(8), 0.0, 0
    wire: list[tuple[int, int]] = []  # replies the server still has to send: call, first or second reply
    open_calls: dict[int, float] = {}
    last: dict[int, int] = {}
    answers: list[CountAnswered] = []

    def check(new_answers):
        for answer in new_answers:
            assert answer.name in open_calls
            del open_calls[answer.name]
            # answers of calls with the same residue come in the order of the calls
            assert last.get(answer.name % 4, -1) < answer.name
            last[answer.name % 4] = answer.name
            if answer.outcome is Outcome.OK:
                assert answer.total == answer.name
            answers.append(answer)

    for action, amount in script:
        if action == "call":
            number += 1
            open_calls[number] = now
            result = p.call(now, Count(number, 1, 1))
            if isinstance(result, CountAnswered):
                assert result.outcome.never_ran
                del open_calls[number]
            else:
                wire += [(number, 1), (number, 2)]
        elif action == "reply":
            for _ in range(amount):
                if wire:
                    call, which = wire.pop(0)
                    check(p.replies(now, [float(call) if which == 1 else 1]))
        elif action == "wait":
            now += 10 * amount
            check(p.due(now))
            assert all(now - at < 30 for at in open_calls.values())
        else:
            wire.clear()
            check(p.lost(now))
            assert not open_calls
            p.connected = True
        assert p.next_due() is None or open_calls
