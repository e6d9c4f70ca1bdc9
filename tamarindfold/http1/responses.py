"""One response at a time from bytes, for the side that asked."""

from __future__ import annotations

from collections.abc import Callable

import httptools

from tamarindfold.http1.requests import Headers


_FRAMING = (b"content-length", b"transfer-encoding")
HEAD_BYTES = 32_768  # of all an answer's headers: in pieces they take many times their size


class BadResponse(ValueError):
    """The other side answered something that is no response, or one beyond a bound."""


class ResponseReader:
    """Reads the answer to one request after another on one connection; call begin() before each."""

    def __init__(self, body_bytes: int) -> None:
        self.body_bytes = body_bytes
        self._parser = httptools.HttpResponseParser(self)
        self.begin()

    def begin(self, no_body: bool = False) -> None:
        """Ready for the next answer; no_body: it answers a HEAD, whose length tells of another message."""
        self.status = 0
        self.headers: Headers = []
        self.complete = self.reusable = self.started = False
        self.excess = False  # bytes beyond the answer: the connection is not to be used again
        self._no_body, self._framed, self._size, self._fed = no_body, False, 0, 0
        self._parts: list[bytes] = []

    @property
    def body(self) -> bytes:
        """What has come of the body, all of it once the answer is complete."""
        return b"".join(self._parts)

    def feed(self, data: bytes) -> None:
        """Take in bytes; BadResponse where they are malformed or too many."""
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
        if self.status < 200 and self._fed > HEAD_BYTES:  # one line without an end is told to nobody here
            raise BadResponse(f"no head within {HEAD_BYTES} bytes")

    def read(self, receive: Callable[[int], bytes]) -> None:
        """Feed from receive until the answer is whole; ConnectionResetError where it ends before."""
        while not self.complete:
            data = receive(1 << 16)
            if data:
                self.feed(data)
            elif not self.end():
                raise ConnectionResetError("closed before the answer was whole")

    def end(self) -> bool:
        """The other side closed: whether that ends a whole answer (RFC 9112 section 6.3, last rule)."""
        if not self.complete and self.status >= 200 and not self._framed:
            self.complete, self.reusable = True, False
        return self.complete

    def get(self, name: bytes) -> bytes | None:
        """The first value of a header."""
        return next((value for known, value in self.headers if known == name), None)

    # ---- called by the parser

    def on_message_begin(self) -> None:
        if self.complete:
            self.excess = True

    def on_header(self, name: bytes, value: bytes) -> None:
        if not self.complete:
            self._size += len(name) + len(value)
            if self._size > min(self.body_bytes, HEAD_BYTES):
                raise BadResponse(f"headers over {min(self.body_bytes, HEAD_BYTES)} bytes")
            name = name.lower()
            self.headers.append((name, value))
            if name in _FRAMING:
                self._framed = True
                if value.isdigit() and not self._no_body and int(value[:20]) > self.body_bytes:
                    raise BadResponse(f"an answer over {self.body_bytes} bytes is announced")

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
        self._parts.append(part)
        self._size += len(part)
        if self._size > self.body_bytes:
            raise BadResponse(f"an answer over {self.body_bytes} bytes")

    def on_message_complete(self) -> None:
        if self.complete:
            return
        if self.status < 200:  # an interim answer (RFC 9110 section 15.2); the real one follows
            if self.status == 101:
                raise BadResponse("an upgrade that nobody asked for")
            self.headers, self._framed = [], False
            return
        self.complete, self.reusable = True, bool(self._parser.should_keep_alive())
