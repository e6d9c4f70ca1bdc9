"""Properties at every size of the fleet: many gateways, many backends, classes with few requests."""

from __future__ import annotations

import pytest
from build import SAFE, START, UNSAFE, ended, fleet, gateway, request

from tamarindfold.choice import Gateway
from tamarindfold.interface import ListKind, Outcome, Plan, Send

WORK_MS = 150.0  # initial estimate of the time of a request


def sends(g: Gateway, now: float, number: int, cls: int = 0, left: float = 4000.0) -> list[Send]:
    return [a for a in g.handle(now, request(number, cls, left=left)) if isinstance(a, Send)]


def cold_work(
    gateways: int, warm: int, cold: int, seconds: int, kind: type[Gateway] = Gateway
) -> list[list[float]]:
    """The times at which each cold backend got a request, under a flood of requests through every gateway."""
    sent_at: list[list[float]] = [[] for _ in range(cold)]
    for index in range(gateways):
        base = gateway(
            gateways=gateways, index=index, classes=(SAFE,), start_capacity=0.2, cold_ms=1e6
        ).settings
        g = kind(base, index)
        g.handle(START, fleet(*range(1, warm + 1)))
        g.handle(START, fleet(*range(1000, 1000 + cold), kind=ListKind.CHANGES, up=START))
        number = 0
        for step in range(seconds * 2):
            now = START + step * 500
            for _ in range(4):
                number += 1
                for send in sends(g, now, number):
                    if send.backend >= 1000:
                        sent_at[send.backend - 1000].append(now)
                    g.handle(now, ended(number, send.backend, took=WORK_MS))
    return sent_at


@pytest.mark.parametrize(("gateways", "warm", "cold"), [(2, 6, 3), (60, 20, 10), (200, 2, 30)])
def test_all_gateways_together_keep_within_a_cold_backends_budget(
    gateways: int, warm: int, cold: int
) -> None:
    """A budget below one request is rounded at random, so that some gateways send and most do not."""
    got = cold_work(gateways, warm, cold, 9)
    # fall multiple x capacity x window, on three cores as the simulator's servers have
    limit = 2 * 0.2 * 3000 * 3
    for when in got:
        for begin in when:
            assert sum(begin <= t < begin + 3000 for t in when) * WORK_MS < limit
    assert sum(map(len, got)) > 0


class NoColdBudget(Gateway):
    """A gateway that does not limit work for cold backends, to show that the test above can fail."""

    def within_cold_budget(self, now, backend, work_ms) -> bool:
        return True


def test_cold_backends_are_overloaded_without_a_budget() -> None:
    got = cold_work(60, 20, 10, 9, NoColdBudget)
    assert any(sum(t < START + 3000 for t in when) * WORK_MS > 3600 for when in got)


def test_backends_are_in_the_subsets_of_equally_many_gateways() -> None:
    users = dict.fromkeys(range(1, 71), 0)
    for index in range(300):
        g = gateway(*users, gateways=300, index=index)
        g.handle(START, request(1))
        for backend in g.candidates(g.calls[1]):
            users[backend.entry.backend] += 1
    assert min(users.values()) >= 5
    assert max(users.values()) <= 1.5 * min(users.values())


def test_the_cost_of_an_event_does_not_grow_with_the_fleet() -> None:
    """Measured by the number of backends compared."""
    compared = {}
    for backends in (10, 1000):

        class Counting(Gateway):
            forecasts = 0

            def forecast(self, now, backend, call, fleet_slowness) -> float:
                Counting.forecasts += 1
                return super().forecast(now, backend, call, fleet_slowness)

        g = Counting(gateway(gateways=2).settings, 1)
        g.handle(START, fleet(*range(1, backends + 1)))
        for n in range(100):
            for send in sends(g, START + n * 10, n):
                g.handle(START + n * 10, ended(n, send.backend))
        compared[backends] = Counting.forecasts / 100
    assert compared[10] <= 10
    assert compared[1000] <= 16


def test_a_backend_that_fails_one_class_is_avoided_for_that_class_only() -> None:
    """Good answers of one class once concealed the failures of another."""
    g = gateway(*range(1, 6), classes=(SAFE, UNSAFE), plans=(Plan(0, 0),))
    got = {0: 0, 1: 0}
    for n in range(1200):
        now, cls = START + n * 50, n % 2
        for send in sends(g, now, n, cls):
            bad = send.backend == 1 and cls == 1
            got[cls] += send.backend == 1 and n > 100
            g.handle(
                now, ended(n, send.backend, Outcome.ERROR if bad else Outcome.OK, took=150.0 + 150.0 * cls)
            )
    assert got[1] < 40  # an even fifth of the 550 would be 110
    assert got[0] > 60


def test_removed_backends_are_dropped() -> None:
    g = gateway(1)
    for n in range(2, 500):
        g.handle(START, fleet(n, kind=ListKind.FULL))
    assert list(g.backends) == [499]
    assert sum(len(ring) for ring in g.rings.values()) == 3


def test_a_keyed_repeat_stays_in_its_group_after_its_backend_left_the_list() -> None:
    g = gateway(1, 2, 3, 4)
    (send,) = sends(g, START, 1, cls=1)
    g.handle(START + 1, fleet(*[n for n in (1, 2, 3, 4) if n != send.backend]))
    again = [
        a for a in g.handle(START + 50, ended(1, send.backend, Outcome.RESET, took=50)) if isinstance(a, Send)
    ]
    assert again and again[0].backend % 2 == send.backend % 2  # its cell
