"""Incremental parsing of requests within size limits. Ambiguous framing is rejected (request smuggling)."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

import httptools

from tamarindfold.ds.byte_buffer import ByteBuffer
from tamarindfold.http1.parser_callbacks import ParserCallbacks

Headers = list[tuple[bytes, bytes]]

# what CPython needs beside the bytes themselves, for accounts of memory
MESSAGE_BYTES = 600  # a request with its list of headers
FIELD_BYTES = 180  # a header field: a pair, two byte strings and a place in the list

MAX_TARGET_BYTES = 8192  # RFC 9112 section 3 recommends at least 8000


class Rejected(Exception):
    """A request that is answered with `status` without being processed.

    If the reader raised it, nothing more can be read from the connection.
    """

    def __init__(self, status: int, detail: str) -> None:
        super().__init__(detail)
        self.status, self.detail = status, detail


class _StopParsing(Exception):
    """Ends the parser's run; the reader knows the reason."""


@dataclass(slots=True)
class Request:
    """One complete request; header names are in lower case."""

    method: str = ""
    target: bytes = b""
    headers: Headers = field(default_factory=list)
    body: bytes = b""
    keep_alive: bool = False
    version: str = "1.1"

    @property
    def memory_bytes(self) -> int:
        """What the request takes in memory."""
        fields = sum(FIELD_BYTES + len(name) + len(value) for name, value in self.headers)
        return MESSAGE_BYTES + len(self.target) + fields + len(self.body)

    def get(self, name: bytes) -> bytes | None:
        """The value of a header that may occur once; Rejected(400) if it occurs twice."""
        found = None
        for known, value in self.headers:
            if known == name:
                if found is not None:
                    raise Rejected(400, f"header {name.decode()} is given twice")
                found = value
        return found


class RequestReader:
    """Parses the requests of one connection; `ready` holds the complete ones, in order."""

    def __init__(self, header_bytes: int, header_count: int, body_bytes: int) -> None:
        self.header_bytes, self.header_count, self.body_bytes = header_bytes, header_count, body_bytes
        self.ready: deque[Request] = deque()
        self.in_message = self.in_body = self.closing = False
        self.wants_continue = False  # the client waits for 100 (Continue) before it sends the body
        # why the parser was stopped; an exception kept here would keep the frames that it passed through
        self._fault: tuple[int, str] | None = None
        # _size: parsed bytes of the current header or body; _fed: bytes received for the current header
        self._size = self._fed = 0
        self._current = Request()
        self._body = ByteBuffer()
        self._parser = httptools.HttpRequestParser(ParserCallbacks(self))

    def feed(self, data: bytes) -> None:
        """Parse received bytes; Rejected if they are malformed or exceed a limit."""
        if self.closing:
            return  # the last response announces that the connection closes
        if not self.in_body:
            self._fed += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self.closing = True  # no upgrade is offered; what follows is in another protocol
        except httptools.HttpParserError as error:
            raise Rejected(*(self._fault or (400, str(error)))) from None
        if not self.in_body and self._fed > self.header_bytes:  # of a header, or of empty lines before one
            raise Rejected(431, f"the header is over {self.header_bytes} bytes")

    @property
    def kept_bytes(self) -> int:
        """The memory that the reader takes for requests, complete or not."""
        complete = sum(request.memory_bytes for request in self.ready)
        return complete + self._current.memory_bytes * self.in_message + self._fed + len(self._body)

    def discard(self) -> None:
        """Free all that is kept; nothing can be fed any more."""
        self.closing, self._current = True, Request()
        self._fed = self._size = 0
        self._body.take()
        self.ready.clear()

    def head(self) -> Request | None:
        """The request whose header is complete and whose body is not, or None.

        It has no body and no keep-alive, since the connection can't be used after answering it.
        """
        if not self.in_body:
            return None
        current = self._current
        return Request(current.method, current.target, current.headers, b"", False, current.version)

    # ---- callbacks of the parser

    def _reject(self, status: int, detail: str) -> None:
        self._fault = status, detail
        raise _StopParsing

    def on_message_begin(self) -> None:
        self.in_message, self._size, self._fault = True, 0, None
        self._current = Request()

    def on_url(self, part: bytes) -> None:
        self._current.target += part
        if len(self._current.target) > MAX_TARGET_BYTES:
            self._reject(414, f"the target is over {MAX_TARGET_BYTES} bytes")

    def on_header(self, name: bytes, value: bytes) -> None:
        headers = self._current.headers
        headers.append((name.lower(), value))
        self._size += len(name) + len(value) + 4
        if len(headers) > self.header_count:
            self._reject(431, f"over {self.header_count} header lines")
        if self._size > self.header_bytes:
            self._reject(431, f"the header is over {self.header_bytes} bytes")

    def on_headers_complete(self) -> None:
        current = self._current
        current.method = self._parser.get_method().decode()
        current.version = self._parser.get_http_version()
        self.in_body = True
        hosts = length = 0
        for name, value in current.headers:
            if name == b"host":
                hosts += 1
            elif name == b"content-length":
                length = int(value)
            elif name == b"transfer-encoding" and value.strip().lower() != b"chunked":
                self._reject(501, "only the transfer coding chunked is known")
            elif name == b"transfer-encoding" and current.version != "1.1":
                self._reject(400, "a transfer coding in HTTP/1.0")  # RFC 9112 section 6.1
            elif name == b"expect":
                if value.lower() != b"100-continue":
                    self._reject(417, "only the expectation 100-continue is known")
                self.wants_continue = current.version == "1.1"
        if current.version not in ("1.0", "1.1"):
            self._reject(505, "only HTTP/1.0 and HTTP/1.1 are spoken")
        if hosts > 1 or (not hosts and current.version == "1.1"):
            self._reject(400, "a request needs exactly one Host")  # RFC 9112 section 3.2
        if length > self.body_bytes:
            self._reject(413, f"the body is over {self.body_bytes} bytes")

    def on_body(self, part: bytes) -> None:
        self._body.add(part)
        self.wants_continue = False
        if len(self._body) > self.body_bytes:
            self._reject(413, f"the body is over {self.body_bytes} bytes")

    def on_message_complete(self) -> None:
        current = self._current
        current.body = self._body.take()
        current.keep_alive = bool(self._parser.should_keep_alive())
        self.in_message = self.in_body = self.wants_continue = False
        self._fed = 0
        self.ready.append(current)
        if not current.keep_alive:
            self.closing = True
