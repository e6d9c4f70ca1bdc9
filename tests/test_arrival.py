"""Arrival times come from kernel timestamps, however late the process reads the bytes."""

from __future__ import annotations

from gevent import socket

from tamarindfold.ingress import arrival


class TimestampedSocket:
    """A socket that returns the given ancillary messages with its data."""

    def __init__(self, ancillary: list) -> None:
        self.ancillary = ancillary

    def recvmsg(self, size: int, ancillary_bytes: int):
        return b"data", self.ancillary, 0, None


def test_kernel_timestamp_is_converted_to_the_gateway_clock(monkeypatch) -> None:
    monkeypatch.setattr(arrival.time, "time", lambda: 1000.5)
    timestamp = (socket.SOL_SOCKET, arrival.SO_TIMESTAMPNS, arrival._TIMESPEC.pack(1000, 250_000_000))
    assert arrival.receive(TimestampedSocket([timestamp]), 10, lambda: 7000.0) == (b"data", 6750.0)


def test_without_a_timestamp_or_with_a_future_one_the_arrival_is_now(monkeypatch) -> None:
    monkeypatch.setattr(arrival.time, "time", lambda: 1000.5)
    future = (socket.SOL_SOCKET, arrival.SO_TIMESTAMPNS, arrival._TIMESPEC.pack(2000, 0))
    other = (socket.SOL_SOCKET, 1, b"12345678")
    for ancillary in ([], [future], [other]):
        assert arrival.receive(TimestampedSocket(ancillary), 10, lambda: 7000.0) == (b"data", 7000.0)
