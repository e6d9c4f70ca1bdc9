"""Exceeds a small quota until a call is refused; prints when to retry. Usage: `refusal.py GATEWAY TOKEN`"""

import sys

from tamarindfold.client import Outcome
from tamarindfold.client.blocking import Client
from tamarindfold.client.shared import Settings, now_ms

with Client(Settings([sys.argv[1]], identity="shop", token=sys.argv[2])) as client:
    for number in range(40):
        reply = client.call("GET", "/quotes", effect="safe", deadline_ms=100)
        if reply.result.outcome is Outcome.REFUSED:
            wait = reply.result.again_ms - now_ms()
            print(f"call {number} refused ({reply.result.reason}); come back in {wait:.0f} ms")
            break
