"""Incremental parsing of responses, one at a time."""

from __future__ import annotations

from collections.abc import Callable

import httptools

from tamarindfold.ds.byte_buffer import ByteBuffer
from tamarindfold.http1.parser_callbacks import ParserCallbacks
from tamarindfold.http1.requests import Headers

_FRAMING = (b"content-length", b"transfer-encoding")
MAX_HEAD_BYTES = 32_768  # all headers of a response
MAX_FIELDS = 256  # header fields of a response; a short one takes many times its size in memory


class BadResponse(ValueError):
    """The peer sent a malformed response, or one that exceeds a limit."""


class ResponseReader:
    """Reads consecutive responses on one connection; call begin() before each."""

    def __init__(self, body_bytes: int) -> None:
        self.body_bytes = body_bytes
        self._parser = httptools.HttpResponseParser(ParserCallbacks(self))
        self.begin()

    def begin(self, no_body: bool = False) -> None:
        """Prepare for the next response; no_body: to a HEAD, so content-length does not describe a body."""
        self.status = 0
        self.headers: Headers = []
        self.started = False  # whether any bytes were received
        self.complete = self.reusable = False
        self.excess = False  # bytes after the response: the connection must not be reused
        self._no_body, self._framed, self._size, self._fed = no_body, False, 0, 0
        self._body = ByteBuffer()

    def discard(self) -> None:
        """Free the response that was read; the connection may be kept."""
        self.headers = []
        self._body.take()

    @property
    def body(self) -> bytes:
        """The body as far as it has been received; all of it once the response is complete."""
        return self._body.peek()

    def feed(self, data: bytes) -> None:
        """Parse received bytes; BadResponse if they are malformed or exceed a limit."""
        self.started = True
        if self.complete:
            self.excess = True
            return
        self._fed += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            if not self.complete:
                raise BadResponse(str(error)) from None
            self.excess = True
        # The parser does not report a line until it is complete, so an endless one is caught here.
        if self.status < 200 and self._fed > MAX_HEAD_BYTES:
            raise BadResponse(f"response headers not complete within {MAX_HEAD_BYTES} bytes")

    def read(self, receive: Callable[[int], bytes]) -> None:
        """Feed from receive until the response is complete; ConnectionResetError if the peer closes early."""
        while not self.complete:
            data = receive(1 << 16)
            if data:
                self.feed(data)
            elif not self.end():
                raise ConnectionResetError("connection closed before the response was complete")

    def end(self) -> bool:
        """Handle the peer's close; whether the response is complete (RFC 9112 section 6.3, last rule)."""
        if not self.complete and self.status >= 200 and not self._framed:
            self.complete, self.reusable = True, False
        return self.complete

    def get(self, name: bytes) -> bytes | None:
        """The first value of a header; None if absent."""
        return next((value for known, value in self.headers if known == name), None)

    # ---- callbacks of the parser

    def on_message_begin(self) -> None:
        if self.complete:
            self.excess = True

    def on_header(self, name: bytes, value: bytes) -> None:
        if not self.complete:
            self._size += len(name) + len(value)
            if self._size > min(self.body_bytes, MAX_HEAD_BYTES):
                raise BadResponse(f"headers over {min(self.body_bytes, MAX_HEAD_BYTES)} bytes")
            if len(self.headers) >= MAX_FIELDS:
                raise BadResponse(f"over {MAX_FIELDS} header fields")
            name = name.lower()
            self.headers.append((name, value))
            if name in _FRAMING:
                self._framed = True
                if value.isdigit() and not self._no_body and int(value[:20]) > self.body_bytes:
                    raise BadResponse(f"content-length over {self.body_bytes} bytes")

    def on_headers_complete(self) -> None:
        if self.complete:
            return
        self.status = self._parser.get_status_code()
        if self._no_body and self.status >= 200:
            self.complete, self.reusable = True, False

    def on_body(self, part: bytes) -> None:
        if self.complete:
            self.excess = self.excess or not self._no_body
            return
        self._body.add(part)
        self._size += len(part)
        if self._size > self.body_bytes:
            raise BadResponse(f"response over {self.body_bytes} bytes")

    def on_message_complete(self) -> None:
        if self.complete:
            return
        if self.status < 200:  # interim response (RFC 9110 section 15.2); the final one follows
            if self.status == 101:
                raise BadResponse("unsolicited protocol upgrade")
            self.headers, self._framed = [], False
            return
        self.complete, self.reusable = True, bool(self._parser.should_keep_alive())
