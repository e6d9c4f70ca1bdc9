"""Names that clients make up take a bounded part of the memory: customers, appointments, cached values."""

from __future__ import annotations

import random
import tracemalloc

from build import START, gateway, request

from tamarindfold.choice import MAX_APPOINTMENTS
from tamarindfold.node.limits import CUSTOMER_BYTES
from tamarindfold.platform.requests import METERING_CACHED_BYTES, CallParser


def test_new_customers_push_out_each_other_and_not_those_that_come_again() -> None:
    g = gateway(1)
    g.max_customers = 10
    for n in range(5):
        g.handle(START + n, request(n, customer=n))
        g.handle(START + n, request(100 + n, customer=n))
    for n in range(1000, 2000):
        g.handle(START + n, request(n, customer=n))
    assert len(g.customers) == 10 and set(range(5)) < set(g.customers)
    assert g.customers_forgotten == 995 and len(g.newcomers) == 5


def test_customers_that_come_again_push_out_the_longest_idle_one() -> None:
    g = gateway(1)
    g.max_customers = 3
    for n in range(6):
        g.handle(START + n, request(n, customer=n))
        g.handle(START + n, request(100 + n, customer=n))
    assert list(g.customers) == [3, 4, 5] and not g.newcomers


def test_appointments_of_one_customer_are_bounded() -> None:
    g = gateway(1)
    for n in range(3000):
        g.handle(START + n, request(n, customer=7))
    assert len(g.customers[7].appointments) <= MAX_APPOINTMENTS


def test_customer_takes_little_memory() -> None:
    g = gateway(1)
    chance = random.Random(1)
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    for n in range(2000):
        g.handle(START + n / 100, request(n, customer=chance.getrandbits(33)))
        g.calls.clear()
    taken = (tracemalloc.get_traced_memory()[0] - before) / 2000
    tracemalloc.stop()
    assert taken <= CUSTOMER_BYTES


def test_long_metering_values_are_not_cached() -> None:
    parser = CallParser(gateway(1).settings)
    for n in range(10):
        long = b"units=1,spread=1,first=0,%d=%s" % (n, b"v" * METERING_CACHED_BYTES)
        assert parser.parse_metering(long) == (1.0, 1, 0)
    assert parser.known_metering.cache_info().currsize == 0
    assert parser.parse_metering(b"units=1,spread=1,first=0") == (1.0, 1, 0)
    assert parser.known_metering.cache_info().currsize == 1
