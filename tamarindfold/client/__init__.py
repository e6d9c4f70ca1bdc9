"""The client library: calls through the gateways with deadlines, retrying only what is safe to repeat.

The core modules (core, gateways, budget, jitter, tokens, protocol) use only the standard library and do no
I/O. The drivers (blocking, aio) need httpx.
"""

from tamarindfold.client.core import Call, Outcome, Result, Rules

__all__ = ["Call", "Outcome", "Result", "Rules"]
