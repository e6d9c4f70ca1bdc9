"""The proxy front, for clients with a token or API key, which is verified before a request is decided."""

from __future__ import annotations

import math
from collections.abc import Callable

from tamarindfold.config.model import GatewayConfig
from tamarindfold.ds.memory import MemoryBudget
from tamarindfold.forward.networks import NetworkRule, NetworkRules
from tamarindfold.http1.requests import Rejected, Request
from tamarindfold.ingress import headers as names
from tamarindfold.ingress import responses
from tamarindfold.ingress.admission import Forbidden, RequestParameters
from tamarindfold.ingress.authentication import Authenticator, Unauthorized, VerificationUnavailable
from tamarindfold.ingress.base_front import BaseFront
from tamarindfold.ingress.connection import ClientConnection
from tamarindfold.ingress.core import Core
from tamarindfold.ingress.exchange import Exchange, Refused
from tamarindfold.ingress.timers import Timers
from tamarindfold.interface import Why

FULL_RETRY_AFTER_MS = 1000.0


class Overloaded(Exception):
    """The front itself has no capacity for this request now."""

    def __init__(self, retry_after_ms: float) -> None:
        super().__init__(retry_after_ms)
        self.retry_after_ms = retry_after_ms


class Front(BaseFront):
    """Serves client connections of one gateway."""

    def __init__(
        self,
        config: GatewayConfig,
        core: Core,
        authenticator: Authenticator,
        timers: Timers,
        clock: Callable[[], float],
        log: Callable[..., None],
        number: int,
        connections: int,
        memory: MemoryBudget,
    ) -> None:
        super().__init__(config.limits, core, responses, timers, clock, log, connections, memory)
        self.authenticator = authenticator
        self.name_prefix = b"%d-%x-" % (number, int(clock()))  # of request names that the gateway assigns
        self.networks = (
            NetworkRules((n.network, NetworkRule(n.refuse, n.zone)) for n in config.networks)
            if config.networks
            else None
        )
        self.connection_type = AuthenticatedConnection
        self.counts |= dict.fromkeys(("unauthorized", "unchecked"), 0)

    @property
    def width(self) -> int:
        """How many gateways the requests of one customer are spread over."""
        return self.authenticator.admission.width


class AuthenticatedConnection(ClientConnection):
    """A connection on which each request carries a credential."""

    front: Front

    def _admit(self, request: Request, peer: str) -> Exchange | bytes:
        """Authenticate a request; a response instead of an exchange if it is rejected or refused."""
        front, name = self.front, b""
        try:
            parameters = front.authenticator.admission.read(request)
            front.core.last_request_number = number = front.core.last_request_number + 1
            name = parameters.name or front.name_prefix + b"%x" % number
            deadline_ms = self.first_byte_ms + parameters.time_left_ms
            give_up_ms = deadline_ms - self.limits.answer_margin_ms
            self._reserve_slot(parameters)
            rule = front.networks.find(peer) if front.networks is not None else None
            if rule is not None and rule.refuse:
                raise Forbidden("this network is not served")
            principal = front.authenticator.authenticate(
                parameters, min(give_up_ms, self._verification_deadline_ms()), peer
            )
        except Rejected as fault:
            front.counts["rejected"] += 1
            return responses.rejected(fault, name, self.keep_alive)
        except Overloaded as fault:
            self._record_unverified(name)
            return responses.final(Refused(fault.retry_after_ms, Why.PRESSURE), name, self.keep_alive)
        except Unauthorized as fault:
            front.counts["unauthorized"] += 1
            return responses.unauthorized(fault.status, fault.error, fault.detail, name, self.keep_alive)
        except Forbidden as fault:
            front.counts["unauthorized"] += 1
            return responses.forbidden(fault, name, self.keep_alive)
        except VerificationUnavailable as fault:
            front.counts["unchecked"] += 1
            self._record_unverified(name)
            return responses.refused(
                503, "Credential not checked", fault.detail, fault.retry_after_ms, name, self.keep_alive
            )
        if front.clock() > deadline_ms:  # authentication used up the time: the client has stopped waiting
            front.counts["unchecked"] += 1
            return responses.refused(
                503, "Credential not checked", "the time ran out", 1.0, name, self.keep_alive
            )
        if len(front.core.open_exchanges) >= self.limits.open_requests:
            front.counts["full"] += 1
            return responses.final(Refused(FULL_RETRY_AFTER_MS, Why.PRESSURE), name, self.keep_alive)
        headers = [*parameters.headers, responses.VIA]
        if rule is not None and rule.zone is not None:
            headers.append((names.ZONE, b"%d" % rule.zone))
        return Exchange(
            number,
            name,
            parameters.cls,
            principal.customer,
            principal.plan,
            parameters.units,
            front.width,
            parameters.retry,
            deadline_ms,
            give_up_ms,
            request.method,
            request.target,
            headers,
            request.body,
            principal.valid_until_ms,
            principal.credential,
        )

    def _reserve_slot(self, parameters: RequestParameters) -> None:
        """Raises Overloaded if the front has no capacity for the request."""

    def _verification_deadline_ms(self) -> float:
        """A bound on credential verification in addition to the request's own deadline."""
        return math.inf

    def _record_unverified(self, name: bytes) -> None:
        """Called when the request of this name was refused because its credential was not verified."""
