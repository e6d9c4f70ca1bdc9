"""Asks keepers for a person, over plain sockets: one after another until one can answer."""

from __future__ import annotations

import socket
import time
from collections.abc import Sequence
from typing import TypeVar

from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey
from msgspec import Struct

from tamarindfold.agreement import wire
from tamarindfold.agreement.state import decode
from tamarindfold.http1.client import send_request
from tamarindfold.http1.responses import BadResponse, ResponseReader
from tamarindfold.identity.wire import BadUpdate

CALL_S = 6.0
PAUSE_S = 0.1
T = TypeVar("T", bound=Struct)


class NoAnswer(RuntimeError):
    """No keeper could say: the last one's reason."""


class Operator:
    """Calls to the keepers of one fleet."""

    def __init__(self, keepers: Sequence[tuple[str, int]], key: Ed25519PrivateKey) -> None:
        self.keepers, self.key = list(keepers), key

    def call(self, keeper: int, path: str, body: bytes, kind: type[T], said: str) -> T:
        """One call to one keeper; NoAnswer where nothing good came back."""
        host, port = self.keepers[keeper]
        try:
            with socket.create_connection((host, port), timeout=CALL_S) as sock:
                reader = ResponseReader(wire.BODY_BYTES)
                status, answer = send_request(
                    sock, reader, "POST", path, f"{host}:{port}", body, [(b"connection", b"close")]
                )
        except (OSError, BadResponse) as error:
            raise NoAnswer(f"keeper {keeper} at {host}:{port}: {error}") from None
        if status != 200:
            raise NoAnswer(f"keeper {keeper} answered {status}: {answer.decode(errors='replace')}")
        try:
            return wire.unpack(answer, kind, self.key.public_key(), said)
        except BadUpdate as error:
            raise NoAnswer(f"keeper {keeper}: {error}") from None

    def looks(self) -> list[wire.Look]:
        """What each keeper that answers sees; NoAnswer where none does."""
        found, reason = [], "no keepers"
        for keeper in range(len(self.keepers)):
            try:
                found.append(self.call(keeper, "/v1/look", b"", wire.Look, "look"))
            except NoAnswer as error:
                reason = str(error)
        if not found:
            raise NoAnswer(reason)
        return found

    def look(self) -> wire.Look:
        """What the keeper sees that knows most; the leader's word goes first."""
        looks = self.looks()
        return next((look for look in looks if look.leader == look.keeper and look.proven), None) or max(
            looks, key=lambda look: decode(look.state).number
        )

    def tell(self, what: wire.Propose | wire.Command, seconds: float) -> wire.Told:
        """Have the leader do something; NoAnswer where it can't be known in time what came of it."""
        said = "propose" if isinstance(what, wire.Propose) else "command"
        body = wire.pack(what, self.key, said)
        until, keeper, reason = time.monotonic() + seconds, 0, ""
        sent_on: set[int] = set()
        while time.monotonic() < until:
            try:
                told = self.call(keeper, f"/v1/{said}", body, wire.Told, "told")
            except NoAnswer as error:
                reason, keeper = str(error), (keeper + 1) % len(self.keepers)
            else:
                if not told.again:
                    return told
                reason = told.reason
                if told.leader not in (-1, keeper, *sent_on):
                    sent_on.add(keeper)  # each keeper's word on who leads is followed at once, but once only
                    keeper = told.leader
                    continue
                keeper = (keeper + 1) % len(self.keepers)
            sent_on.clear()
            time.sleep(PAUSE_S)
        raise NoAnswer(f"nothing is known of what came of it: {reason}")
