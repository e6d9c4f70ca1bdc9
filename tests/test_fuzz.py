"""The fuzzers with a small budget, and that they find planted faults."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest

from fuzz import headers
from tamarindfold.http1.requests import Request, RequestReader


def test_nothing_is_found_in_some_rounds() -> None:
    done, found = headers.run(7, 300, None)
    assert (done, found) == (300, [])


def deaf(random_address: str) -> int:
    return 0xFFFF << 32 | 1 if random_address == "1.1" else headers_address(random_address)


headers_address = headers.parse_address


class Joining(RequestReader):
    """Reads what comes in parts otherwise than what comes whole."""

    def feed(self, data: bytes) -> None:
        super().feed(data.replace(b"\x00", b"") if len(data) < 20 else data)


@pytest.mark.parametrize(
    ("target", "name", "planted"),
    [
        ("addresses", "parse_address", deaf),
        ("messages", "RequestReader", Joining),
        ("originals", "parse_original_request", lambda asked, names: Request("GET", b"/else")),
        (
            "tokens",
            "bearer",
            type(
                "B",
                (),
                {"parse_authorization": staticmethod(lambda v: v.strip()), "BadCredentials": ValueError},
            ),
        ),
        ("reports", "parse_reports", lambda body: 1 / 0),
        ("chains", "NETWORKS", []),
    ],
)
def test_a_planted_fault_is_found(monkeypatch, target, name, planted) -> None:
    monkeypatch.setattr(headers, name, planted)
    _, found = headers.run(7, 800, None)
    assert [line.partition(",")[0] for line in found] == [target]


def test_the_command_says_what_it_did() -> None:
    done = subprocess.run(
        [sys.executable, "-m", "fuzz.headers", "--seconds", "0.2"],
        capture_output=True,
        text=True,
        cwd=Path(__file__).parent.parent,
    )
    assert done.returncode == 0 and "0 finds" in done.stdout
