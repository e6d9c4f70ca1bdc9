"""Effects of lost answers on the slowness of backends and of the fleet, and cancelling of withdrawn requests."""

from __future__ import annotations

import pytest
from build import START, ended, gateway, request

from tamarindfold.choice import FAILURE_SLOWNESS, Customer, Gateway
from tamarindfold.interface import Cancel, Count, CountAnswered, Outcome, Plan, RequestWithdrawn, Send


def send(g: Gateway, now: float, number: int, **changes) -> int:
    (sent,) = [a for a in g.handle(now, request(number, **changes)) if isinstance(a, Send)]
    return sent.backend


def test_a_later_answer_shows_that_an_older_silent_attempt_lost_its_connection() -> None:
    g = gateway(1)
    send(g, START, 1, left=6000)
    backend, call = g.backends[1], g.calls[1]
    assert g.forecast(START + 3000, backend, call, 1.0) == pytest.approx(3000 - call.work_ms, abs=1)
    send(g, START + 2800, 2)
    g.handle(START + 2900, ended(2, 1))
    assert g.forecast(START + 3000, backend, call, 1.0) < 1000


@pytest.mark.parametrize("outcome", [Outcome.TIMEOUT, Outcome.OK])
def test_a_single_answer_has_a_bounded_effect_on_the_slowness_of_the_fleet(outcome: Outcome) -> None:
    g = gateway(1, 2, 3, 4)
    chosen = send(g, START, 1, left=6000)
    g.handle(START + 6000, ended(1, chosen, outcome, took=6000.0))
    assert 1 < g.fleet_slowness.current(START + 6000) <= 1 + 0.3 * (FAILURE_SLOWNESS / 2 - 1)


def test_requests_go_on_being_sent_after_one_lost_answer() -> None:
    g = gateway(1, 2, 3, 4)
    chosen = send(g, START, 1, left=6000)
    for number in range(2, 60):
        g.handle(now := START + 100.0 * number, request(number, left=6000))
        if number in g.calls:
            g.handle(now + 90, ended(number, g.calls[number].attempted[0].entry.backend))
    g.handle(START + 6000, ended(1, chosen, Outcome.TIMEOUT, took=6000.0))
    answers = [g.handle(START + 6000 + n, request(100 + n, left=6000)) for n in range(8)]
    # without the bound on the effect of one answer hardly any request was sent
    assert sum(isinstance(a, Send) for actions in answers for a in actions) >= 5


def test_the_attempt_of_a_withdrawn_request_is_cancelled_once() -> None:
    g = gateway(1, 2)
    chosen = send(g, START, 1)
    assert g.handle(START + 10, RequestWithdrawn(1)) == [Cancel(1, 0)]
    assert g.handle(START + 11, RequestWithdrawn(1)) == []
    g.handle(START + 12, ended(1, chosen, Outcome.CANCELLED, took=12.0))
    assert g.backends[chosen].load == 0
    assert g.backends[chosen].slowness[0].current(START + 12) == 1


@pytest.mark.parametrize(("allowed", "outstanding"), [(False, True), (True, False)])
def test_nothing_is_cancelled_if_the_settings_forbid_it_or_no_attempt_is_outstanding(
    allowed: bool, outstanding: bool
) -> None:
    g = gateway(1, 2, cancel=allowed)
    chosen = send(g, START, 1)
    if not outstanding:
        g.handle(START + 5, ended(1, chosen))
    assert g.handle(START + 10, RequestWithdrawn(1)) == []


def test_a_broken_connection_to_the_counter_does_not_lower_its_headroom() -> None:
    for outcome, lowered in (
        (Outcome.RESET, False),
        (Outcome.ERROR, False),
        (Outcome.TIMEOUT, True),
        (Outcome.FULL, True),
    ):
        g = gateway(1, 2, plans=(Plan(8, 16),), counter=True, counter_timeout_ms=30)
        g.counter_headroom = 1.0
        (count,) = [
            a for n in range(9) for a in g.handle(START, request(n, units=1)) if isinstance(a, Count)
        ][:1]
        g.handle(START + 5, CountAnswered(count.name, outcome, 5.0, 0.0))
        assert (g.counter_headroom < 1.0) is lowered


def test_units_admitted_on_credit_lower_the_estimated_fill() -> None:
    c = Customer(Plan(8, 16), 4, START, 9)
    c.apply_count(START, 0.0, 0.0, 0.0)
    assert c.estimated_fill(START, 0.0) > 1
    c.tokens = -10.0
    assert c.estimated_fill(START, 0.0) == pytest.approx((16 - 10) / (0.9 * 16))
    c.apply_count(START, 0.0, 0.0, 0.0)
    assert c.estimated_fill(START, 0.0) > 1
