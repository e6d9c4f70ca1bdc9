"""What is kept for a peer takes the memory that is accounted for it, in however small pieces it comes."""

from __future__ import annotations

import tracemalloc
from collections.abc import Callable, Iterable
from contextlib import suppress
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tamarindfold.ds.byte_buffer import ByteBuffer
from tamarindfold.http1.requests import Rejected, RequestReader
from tamarindfold.http1.responses import MAX_FIELDS, BadResponse, ResponseReader
from tamarindfold.platform.registry import WatchReader

KIB = 1 << 10
PARSER_BYTES = 8 * KIB  # a reader without input, its parser and callbacks
HEAD = b"POST / HTTP/1.1\r\nHost: o\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
ANSWER = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def memory_of(make: Callable[[], Any], pieces: Iterable[bytes]) -> tuple[int, Any]:
    """The bytes that a reader takes after it was fed, and the reader."""
    pieces = list(pieces)
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    reader = make()
    with suppress(Rejected, BadResponse, ValueError):
        for piece in pieces:
            reader.feed(piece)
    taken = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    return taken, reader


def cut(data: bytes, size: int) -> list[bytes]:
    return [data[at : at + size] for at in range(0, len(data), size)]


def request_reader() -> RequestReader:
    return RequestReader(16_384, 100, 65_536)


@pytest.mark.parametrize(
    "data",
    [
        HEAD + b"".join(b"%x:\r\n" % i for i in range(60)),
        HEAD + b"a:" + b"b" * 16_000,
        HEAD + b"Content-Length: 65536\r\n\r\n" + b"x" * 60_000,
        CHUNKED + b"1\r\nx\r\n" * 60_000,
        CHUNKED + b"2\r\nxx\r\n" * 30_000,
        b"\r\n" * 5_000,
    ],
)
@pytest.mark.parametrize("size", [7, 4096])
def test_request_takes_no_more_memory_than_its_account(data, size) -> None:
    taken, reader = memory_of(request_reader, cut(data, size))
    assert taken <= PARSER_BYTES + 1.25 * reader.kept_bytes


PIECES = st.sampled_from(
    (
        b"GET / HTTP/1.1\r\n",
        b"Host: o\r\n",
        b"a:\r\n" * 40,
        b"\r\n",
        b"b: " + b"c" * 3000 + b"\r\n",
        b"Content-Length: 5000\r\n",
        b"Transfer-Encoding: chunked\r\n",
        b"1\r\nx\r\n" * 500,
        b"x" * 900,
    )
)


@settings(max_examples=60, deadline=None, derandomize=True)
@given(st.lists(PIECES, min_size=1, max_size=40))
def test_random_input_takes_no_more_memory_than_its_account(pieces) -> None:
    taken, reader = memory_of(request_reader, pieces)
    assert taken <= 2 * PARSER_BYTES + 1.25 * reader.kept_bytes


def test_discarded_reader_keeps_nothing() -> None:
    reader = request_reader()
    reader.feed(HEAD + b"Content-Length: 65536\r\n\r\n" + b"x" * 60_000)
    before = reader.kept_bytes
    reader.discard()
    assert before > 60_000 and reader.kept_bytes < 1000 and not reader.ready


@pytest.mark.parametrize("chunk", [b"1\r\nx\r\n", b"2\r\nxx\r\n"])
def test_response_in_small_chunks_takes_about_its_size(chunk) -> None:
    taken, reader = memory_of(lambda: ResponseReader(1 << 20), cut(ANSWER + chunk * 100_000, 16_384))
    assert taken <= PARSER_BYTES + 1.25 * len(reader.body)


def test_response_with_very_many_short_fields_is_an_error() -> None:
    reader = ResponseReader(1 << 20)
    with pytest.raises(BadResponse):
        reader.feed(b"HTTP/1.1 200 OK\r\n" + b"a:\r\n" * (MAX_FIELDS + 2))


def test_idle_connection_to_a_backend_keeps_no_response(start_testbed) -> None:
    testbed = start_testbed(1, body="x" * 300_000)
    assert len(testbed.ask().body) == 300_000
    (connection,) = (c for idle in testbed.node.pool.idle.values() for c in idle)
    assert not connection.reader.body and not connection.reader.headers


@pytest.mark.parametrize("text", [b"{", b"{\n", b"\n{", b" " * 7 + b"{\n"])
def test_list_in_small_pieces_takes_about_its_size(text) -> None:
    data = ANSWER + b"".join(b"%x\r\n%s\r\n" % (1, text[i % len(text) :][:1]) for i in range(200_000))
    taken, _ = memory_of(WatchReader, cut(data, 16_384))
    assert taken <= PARSER_BYTES + 3 * 200_000


@given(st.lists(st.binary(max_size=9), max_size=20))
def test_buffer_joins_its_pieces(pieces) -> None:
    buffer = ByteBuffer()
    for piece in pieces:
        buffer.add(piece)
    assert len(buffer) == len(b"".join(pieces)) and buffer.peek() == b"".join(pieces)
    assert buffer.take() == b"".join(pieces) and not len(buffer)
