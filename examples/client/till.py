"""A store's till: requests a quote, then switches the tariff. Usage: `till.py GATEWAY TOKEN`"""

import sys

from tamarindfold.client import Outcome
from tamarindfold.client.blocking import Client
from tamarindfold.client.shared import Settings

with Client(Settings([sys.argv[1]], identity="store-12/till-1", token=sys.argv[2])) as client:
    quote = client.call("GET", "/quotes", effect="safe", deadline_ms=3_000)
    print("quote:", quote.result.outcome.value, quote.body.decode())
    switch = client.call("POST", "/switches", effect="unsafe", deadline_ms=5_000, body=b'{"tariff": "night"}')
    print("switch:", switch.result.outcome.value)
    if switch.result.outcome is Outcome.UNKNOWN:
        print("the switch may have run: check the account before repeating it")
