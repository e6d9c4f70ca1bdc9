"""Further attempts of keyed requests stay within the time in which the backends drop a repeat."""

from __future__ import annotations

from typing import Any

import pytest
from build import START, gateway, request
from gevent import socket
from rig import wait_for
from test_platform import SETTINGS
from testbed import PLANS, PlatformTestbed

from tamarindfold.interface import AttemptEnded, Outcome, Refuse, Send
from tamarindfold.standins.base import reset

KEYED_ALL = 2  # index of this class in build.settings(); its window is 3000 ms
WINDOW_MS = 200.0
BOOK = {
    "name": "book",
    "aim": 1000.0,
    "hard_limit": 6000.0,
    "points": 5.0,
    "idempotency": "token",
    "group": "all",
    "dedup_window": WINDOW_MS,
}


def start_with_keyed_class(start_testbed: Any, **permissions: float) -> PlatformTestbed:
    testbed = start_testbed(2, start=False)
    testbed.config["settings"] = SETTINGS | {
        "categories": [BOOK],
        "plans": PLANS,
        "permissions": SETTINGS["permissions"] | permissions,
    }
    testbed.run()
    return testbed


def wait_until_window_ended(testbed: PlatformTestbed) -> None:
    """Wait until the window of an attempt that began before this call has ended, by the ingress's clock."""
    ended_at = testbed.node.steady.now() + WINDOW_MS
    wait_for(lambda: testbed.node.steady.now() > ended_at)


# ---- the decision


@pytest.mark.parametrize(
    ("first_byte_ms", "reported_ms", "action"),
    [(None, 2990, Send), (None, 3400, Refuse), (500, 3400, Send), (500, 3600, Refuse)],
)
def test_window_counts_from_the_first_byte_and_not_back_from_the_outcome(
    first_byte_ms, reported_ms, action
) -> None:
    """Guards against a second run: the outcome is reported late, or its elapsed time is too short."""
    g = gateway()
    (sent,) = g.handle(START, request(1, KEYED_ALL))
    written = {} if first_byte_ms is None else {"first_byte_ms": START + first_byte_ms}
    ended = AttemptEnded(1, 0, sent.backend, Outcome.RESET, 50.0, False, **written)
    (decided,) = g.handle(START + reported_ms, ended)
    assert isinstance(decided, action)


# ---- the ingress on sockets


def test_keyed_request_is_not_repeated_if_its_answer_is_reset_after_the_window(
    start_testbed, monkeypatch
) -> None:
    """Guards against a second run: half an answer came within the window, and the reset after it."""
    testbed = start_with_keyed_class(start_testbed)

    def break_off(sock: socket.socket, request: Any, first_byte_at: float) -> None:
        testbed.backends[0].ledger.record(first_byte_at, "came")
        sock.sendall(b"HTTP/1.1 200 OK\r\n\r\nhalf")
        wait_until_window_ended(testbed)
        reset(sock)

    for backend in testbed.backends:
        monkeypatch.setattr(backend, "_answer", break_off)
    ended: list[AttemptEnded] = []
    handle = testbed.node.core.gateway.handle
    monkeypatch.setattr(
        testbed.node.core.gateway,
        "handle",
        lambda now, event: (
            (ended.append(event) if isinstance(event, AttemptEnded) else None) or handle(now, event)
        ),
    )
    asked_at = testbed.node.steady.now()
    assert testbed.ask(cls="book", body=b"x").status == 503
    assert len(testbed.received()) == 1
    (attempt,) = ended
    assert attempt.elapsed_ms >= WINDOW_MS  # up to the reset, not up to the last bytes
    assert asked_at <= attempt.first_byte_ms <= testbed.node.steady.now() - WINDOW_MS
