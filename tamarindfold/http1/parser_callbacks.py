"""Passes an HTTP parser's callbacks on without keeping their receiver alive.

A parser of httptools holds the bound methods of its protocol object. If that object also holds the parser,
the two form a reference cycle, and what they keep stays in memory until the garbage collector runs.
"""

from __future__ import annotations

import weakref
from typing import Any


class ParserCallbacks:
    """The protocol object of a parser: it has all callbacks and holds a weak reference to their receiver."""

    __slots__ = ("_receiver",)

    def __init__(self, receiver: Any) -> None:
        self._receiver: Any = weakref.ref(receiver)

    def on_message_begin(self) -> None:
        self._receiver().on_message_begin()

    def on_url(self, part: bytes) -> None:
        self._receiver().on_url(part)

    def on_header(self, name: bytes, value: bytes) -> None:
        self._receiver().on_header(name, value)

    def on_headers_complete(self) -> None:
        self._receiver().on_headers_complete()

    def on_body(self, part: bytes) -> None:
        self._receiver().on_body(part)

    def on_message_complete(self) -> None:
        self._receiver().on_message_complete()
