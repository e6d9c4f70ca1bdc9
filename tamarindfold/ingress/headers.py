"""The names of the gateway's own headers, on both sides."""

# client to gateway; unknown ones that begin so are dropped
REQUEST = b"tamarind-request"  # the client's name for this try; made up where absent
UNITS = b"tamarind-units"  # what the try asks for; from a server: what it really took
RETRY = b"tamarind-retry"  # 1: the client tries again what was refused
TIME_LEFT = b"tamarind-time-left"  # milliseconds until the client gives up
IDEMPOTENCY_KEY = b"idempotency-key"

# gateway to server
ATTEMPT, CUSTOMER = b"tamarind-attempt", b"tamarind-customer"
PLAN, CLASS = b"tamarind-plan", b"tamarind-class"
SERVER = b"tamarind-server"  # to a proxy: the server that was chosen
INSTANCE = b"tamarind-instance"  # to a proxy: which instance the report goes to
ZONE = b"tamarind-zone"  # of the client's network, where the configuration names one
REFUSALS = b"tamarind-refusals"  # from a proxy: as_403 or as_is, where the fleet's proxies differ
STATUS = b"tamarind-status"  # to a proxy that passes only 401 and 403 on: the status that was meant

# server to gateway
FULL = b"tamarind-full"  # 1, with 503: turned away unexamined, nothing ran
LOAD = b"tamarind-load"  # name=number pairs, separated by commas

# gateway to client
OUTCOME = b"tamarind-outcome"  # served, refused, failed or rejected
RETRY_AFTER_MS = b"tamarind-retry-after-ms"
OWN = b"tamarind-"
