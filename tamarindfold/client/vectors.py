"""Conformance vectors for clients in other languages: events of calls and the core's actions.

`python -m tamarindfold.client.vectors FOLDER` writes them. A vector is one simulated client: its settings,
the random numbers that it draws in order, and its calls, each a list of steps (now, event or null for the
start, action). The calls of a vector share gateways, retry budget and reconnect schedule.
"""

from __future__ import annotations

import json
import sys
from collections.abc import Callable
from pathlib import Path
from random import Random
from typing import Any

from tamarindfold.client.budget import RetryBudget
from tamarindfold.client.core import (
    Action,
    Answered,
    Broken,
    Call,
    CallSpec,
    Event,
    NoToken,
    Result,
    Rules,
    Send,
    TooLate,
    Unreached,
    Wait,
    Woke,
)
from tamarindfold.client.gateways import Gateways
from tamarindfold.client.jitter import ReconnectSchedule
from tamarindfold.client.protocol import wait_ms

VECTOR_COUNT = 120
CALLS_PER_VECTOR = 6
WALL_MS = 1_800_000_000_000.0

WAIT_HEADERS: list[dict[str, str]] = [
    {},
    {"retry-after": "3"},
    {"retry-after": "0"},
    {"retry-after": "soon"},
    {"retry-after": "-5"},
    {"retry-after": "9" * 40},
    {"retry-after": "99999999"},
    {"retry-after": "1.5"},
    {"retry-after": "Fri, 15 Jan 2027 08:00:10 GMT"},
    {"retry-after": "Fri, 15 Jan 2027 07:00:00 GMT"},
    {"retry-after": "Sun, 15 Jan 2090 08:00:10 GMT"},
    {"retry-after": "Fri, 45 Jan 2027 08:00:10 GMT"},
    {"tamarind-retry-after-ms": "250", "retry-after": "9"},
    {"tamarind-retry-after-ms": "x", "retry-after": "2"},
    {"tamarind-retry-after-ms": " 40 "},
]


def event_json(event: Event) -> dict[str, Any]:
    """The JSON form of an event in a vector."""
    match event:
        case Answered(status, headers, wall):
            return {"kind": "answered", "status": status, "headers": dict(headers), "wall_ms": wall}
        case Unreached():
            return {"kind": "unreached"}
        case Broken():
            return {"kind": "broken"}
        case NoToken():
            return {"kind": "no_token"}
        case TooLate():
            return {"kind": "too_late"}
        case Woke():
            return {"kind": "woke"}


def event_from(data: dict[str, Any]) -> Event:
    """The event with this JSON form."""
    match data["kind"]:
        case "answered":
            return Answered(data["status"], data["headers"], data["wall_ms"])
        case "unreached":
            return Unreached()
        case "broken":
            return Broken()
        case "no_token":
            return NoToken()
        case "too_late":
            return TooLate()
    return Woke()


def action_json(action: Action) -> dict[str, Any]:
    """The JSON form of an action; times are rounded to microseconds, as languages differ in rounding."""
    match action:
        case Send(gateway, number, retry, left, fresh, effect, write_left):
            return {
                "kind": "send",
                "gateway": gateway,
                "number": number,
                "retry": retry,
                "time_left_ms": round(left, 3),
                "fresh_token": fresh,
                "effect": effect,
                "write_left_ms": round(write_left, 3),
            }
        case Wait(until):
            return {"kind": "wait", "until_ms": round(until, 3)}
        case Result(outcome, reason, tries, again):
            return {
                "kind": "result",
                "outcome": outcome.value,
                "reason": reason,
                "tries": tries,
                "again_ms": round(again, 3),
            }


class VectorClient:
    """The client of one vector."""

    def __init__(self, settings: dict[str, Any], draw: Callable[[], float]) -> None:
        self.draw = draw
        self.gateways = Gateways(settings["gateways"], settings["identity"], draw)
        self.budget = RetryBudget(settings["budget_part"], settings["budget_most"])
        self.reconnects = ReconnectSchedule(
            settings["identity"],
            settings["spread_ms"],
            settings["reconnect_base_ms"],
            settings["reconnect_most_ms"],
            draw,
        )
        self.rules = Rules(settings["most_tries"], settings["pause_base_ms"], settings["pause_most_ms"])

    def call(self, ask: dict[str, Any]) -> Call:
        """A new call, from its JSON form."""
        spec = CallSpec(ask["effect"], ask["deadline_ms"], ask["window_ms"])
        return Call(self.rules, spec, self.gateways, self.budget, self.reconnects, self.draw)


def _random_event(random: Random, waiting: bool) -> Event:
    if waiting:
        return Woke()
    kind = random.random()
    if kind < 0.2:
        return Unreached()
    if kind < 0.35:
        return Broken()
    if kind < 0.38:
        return NoToken()
    if kind < 0.4:
        return TooLate()
    status, outcome = random.choice(
        [
            (200, "served"),
            (200, ""),
            (429, "refused"),
            (429, "refused"),
            (429, ""),
            (503, "refused"),
            (503, ""),
            (502, "failed"),
            (504, "failed"),
            (500, ""),
            (401, "rejected"),
            (401, ""),
            (404, "rejected"),
            (403, ""),
            (408, ""),
            (302, ""),
        ]
    )
    headers = {"tamarind-outcome": outcome} if outcome else {}
    if outcome == "refused" or status == 429:
        headers |= random.choice(
            [
                {"tamarind-retry-after-ms": str(random.choice((20, 300, 1500, 40_000)))},
                {"retry-after": random.choice(("1", "2", "often"))},
                {},
            ]
        )
    return Answered(status, headers, WALL_MS)


def make_vector(seed: int) -> dict[str, Any]:
    """One vector."""
    random = Random(seed)
    settings = {
        "gateways": [f"http://gateway-{i}" for i in range(random.randint(1, 4))],
        "identity": f"till-{seed}",
        "budget_part": 0.2,
        "budget_most": random.choice((2.0, 10.0)),
        "spread_ms": random.choice((0.0, 5000.0)),
        "reconnect_base_ms": 200.0,
        "reconnect_most_ms": 30_000.0,
        "most_tries": random.randint(1, 5),
        "pause_base_ms": 50.0,
        "pause_most_ms": 2000.0,
    }
    draws: list[float] = []

    def draw() -> float:
        draws.append(round(random.random(), 9))
        return draws[-1]

    client, now, calls = VectorClient(settings, draw), 1000.0, []
    for _ in range(CALLS_PER_VECTOR):
        effect = random.choice(("safe", "keyed", "unsafe"))
        ask = {
            "effect": effect,
            "deadline_ms": now + random.choice((400.0, 3000.0, 20_000.0)),
            "window_ms": random.choice((500.0, 3000.0)) if effect == "keyed" else 0.0,
        }
        call = client.call(ask)
        action = call.start(now)
        steps: list[dict[str, Any]] = [{"now": now, "event": None, "action": action_json(action)}]
        while not isinstance(action, Result):
            waiting = isinstance(action, Wait)
            now = max(now, action.until_ms) if isinstance(action, Wait) else now + random.choice((3.0, 120.0))
            now = round(now, 3)
            event = _random_event(random, waiting)
            action = call.handle(now, event)
            steps.append({"now": now, "event": event_json(event), "action": action_json(action)})
        calls.append({"ask": ask, "steps": steps})
        now += random.choice((1.0, 2500.0))
    return {"settings": settings, "draws": draws, "calls": calls}


def main() -> None:
    """Write calls.json and waits.json."""
    folder = Path(sys.argv[1])
    folder.mkdir(parents=True, exist_ok=True)
    waits = [
        {"headers": headers, "wall_ms": WALL_MS, "wait_ms": wait_ms(headers, WALL_MS)}
        for headers in WAIT_HEADERS
    ]
    for name, data in (("calls", [make_vector(seed) for seed in range(VECTOR_COUNT)]), ("waits", waits)):
        (folder / f"{name}.json").write_text(json.dumps(data, separators=(",", ":")) + "\n")


if __name__ == "__main__":
    main()
