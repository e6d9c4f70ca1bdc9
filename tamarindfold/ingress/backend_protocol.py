"""What an ingress needs to speak to its servers: encodes requests and interprets responses, without I/O."""

from __future__ import annotations

from typing import Protocol

from tamarindfold.http1.responses import ResponseReader
from tamarindfold.ingress.exchange import Exchange
from tamarindfold.interface import Outcome


class BackendAdapter(Protocol):
    """Encodes requests for the servers and interprets their responses. No I/O."""

    # True: an attempt can have run only if all of it was written; False: from its first byte on.
    needs_complete_request: bool

    def address(self, backend: int) -> tuple[str, int] | None:
        """The address of a server; None if it is no longer known."""

    def process_identity(self, backend: int) -> object:
        """A value that distinguishes the process now behind this server number from any other one."""

    def request(self, exchange: Exchange, attempt: int, backend: int, left_ms: float) -> bytes:
        """The request bytes of an attempt."""

    def outcome(self, reader: ResponseReader) -> Outcome:
        """The outcome that a complete response means."""

    def units(self, reader: ResponseReader) -> float:
        """The units that the request actually used; 0 if the response does not say."""

    def report(self, reader: ResponseReader) -> tuple[float, ...]:
        """The values of the load report in the order of the settings; empty without a valid report."""
