"""Runs the fuzzers for a short time, and checks that they detect planted faults."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest

from fuzz import headers
from tamarindfold.http1.requests import Request, RequestReader


def test_fuzzers_report_no_failure() -> None:
    done, failures = headers.run(7, 300, None)
    assert (done, failures) == (300, [])


original_address_parser = headers.parse_address


def address_parser_with_fault(text: str) -> int:
    """Accepts 1.1, which is not an address."""
    return 0xFFFF << 32 | 1 if text == "1.1" else original_address_parser(text)


class InconsistentReader(RequestReader):
    """Drops NUL bytes from short parts only, so that the result depends on how the input is split."""

    def feed(self, data: bytes) -> None:
        super().feed(data.replace(b"\x00", b"") if len(data) < 20 else data)


@pytest.mark.parametrize(
    ("target", "name", "replacement"),
    [
        ("addresses", "parse_address", address_parser_with_fault),
        ("messages", "RequestReader", InconsistentReader),
        ("originals", "parse_original_request", lambda request, names: Request("GET", b"/else")),
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
        ("chains", "TRUSTED_NETWORKS", []),
    ],
)
def test_planted_fault_is_detected(monkeypatch, target, name, replacement) -> None:
    monkeypatch.setattr(headers, name, replacement)
    _, failures = headers.run(7, 800, None)
    assert [line.partition(",")[0] for line in failures] == [target]


def test_command_prints_a_summary() -> None:
    process = subprocess.run(
        [sys.executable, "-m", "fuzz.headers", "--seconds", "0.2"],
        capture_output=True,
        text=True,
        cwd=Path(__file__).parent.parent,
    )
    assert process.returncode == 0 and "0 failures" in process.stdout
