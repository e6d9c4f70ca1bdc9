"""The front for clients with a token or a key: who they are is looked up before the module hears of them."""

from __future__ import annotations

import math
from collections.abc import Callable

from tamarindfold.config.model import GatewayConfig
from tamarindfold.forward.networks import Networks, Rule
from tamarindfold.http1.requests import Rejected, Request
from tamarindfold.ingress import answers
from tamarindfold.ingress import headers as names
from tamarindfold.ingress.admission import Asked, Forbidden
from tamarindfold.ingress.connection import ClientConnection, Listener
from tamarindfold.ingress.core import Core
from tamarindfold.ingress.door import Door, Unauthorized, Unchecked
from tamarindfold.ingress.exchange import Exchange, Refused
from tamarindfold.ingress.timers import Timers
from tamarindfold.interface import Why


class Pressed(Exception):
    """The front itself has no time for this request now."""

    def __init__(self, retry_after_ms: float) -> None:
        super().__init__(retry_after_ms)
        self.retry_after_ms = retry_after_ms


class Front(Listener):
    """Serves client connections for one gateway."""

    def __init__(
        self,
        config: GatewayConfig,
        core: Core,
        door: Door,
        timers: Timers,
        clock: Callable[[], float],
        log: Callable[..., None],
        number: int,
        connections: int,
    ) -> None:
        super().__init__(config.limits, core, answers, timers, clock, log, connections)
        self.door = door
        self.prefix = b"%d-%x-" % (number, int(clock()))
        self.networks = (
            Networks((n.network, Rule(n.refuse, n.zone)) for n in config.networks)
            if config.networks
            else None
        )
        self.connection = TokenConnection
        self.counts |= dict.fromkeys(("unauthorized", "unchecked"), 0)

    @property
    def width(self) -> int:
        """Through how many gateways a customer comes."""
        return self.door.admission.width


class TokenConnection(ClientConnection):
    """A connection of a client that shows a credential with each request."""

    front: Front

    def _enter(self, request: Request, peer: str) -> Exchange | bytes:
        """The request ready for the module, or the answer where it does not come that far."""
        front, name = self.front, b""
        try:
            asked = front.door.admission.read(request)
            front.core.last_request_number = number = front.core.last_request_number + 1
            name = asked.name or front.prefix + b"%x" % number
            deadline = self.began_ms + asked.time_left_ms
            give_up = deadline - self.limits.answer_margin_ms
            self._take_up(asked)
            rule = front.networks.find(peer) if front.networks is not None else None
            if rule is not None and rule.refuse:
                raise Forbidden("this network is not served")
            entry = front.door.enter(asked, min(give_up, self._check_by()), peer)
        except Rejected as fault:
            front.counts["rejected"] += 1
            return answers.rejected(fault, name, self.keep)
        except Pressed as fault:
            self._in_doubt(name)
            return answers.final(Refused(fault.retry_after_ms, Why.PRESSURE), name, self.keep)
        except Unauthorized as fault:
            front.counts["unauthorized"] += 1
            return answers.unauthorized(fault.status, fault.error, fault.detail, name, self.keep)
        except Forbidden as fault:
            front.counts["unauthorized"] += 1
            return answers.forbidden(fault, name, self.keep)
        except Unchecked as fault:
            front.counts["unchecked"] += 1
            self._in_doubt(name)
            return answers.refused(
                503, "Credential not checked", fault.detail, fault.retry_after_ms, name, self.keep
            )
        if front.clock() > deadline:  # the check took all the time there was: nobody waits any more
            front.counts["unchecked"] += 1
            return answers.refused(503, "Credential not checked", "the time ran out", 1.0, name, self.keep)
        if len(front.core.open_exchanges) >= self.limits.open_requests:
            front.counts["full"] += 1
            return answers.final(Refused(1000.0, Why.PRESSURE), name, self.keep)
        headers = [*asked.headers, answers.VIA]
        if rule is not None and rule.zone is not None:
            headers.append((names.ZONE, b"%d" % rule.zone))
        return Exchange(
            number,
            name,
            asked.cls,
            entry.customer,
            entry.plan,
            asked.units,
            front.width,
            asked.retry,
            deadline,
            give_up,
            request.method,
            request.target,
            headers,
            request.body,
            entry.until_ms,
            entry.known,
        )

    def _take_up(self, asked: Asked) -> None:
        """Raises Pressed where the front has no time for the request."""

    def _check_by(self) -> float:
        """When the look at a credential is to be over, beside the request's own time."""
        return math.inf

    def _in_doubt(self, name: bytes) -> None:
        """A request of this name was refused because its credential could not be checked."""
