"""Names of the gateway's own HTTP headers, towards clients, proxies and servers."""

# Client to gateway. Unknown headers with the prefix are dropped.
REQUEST = b"tamarind-request"  # the client's name for this try; generated if absent
UNITS = b"tamarind-units"  # units requested by the try; in a server's response: units actually used
RETRY = b"tamarind-retry"  # 1: a retry of a refused try
TIME_LEFT = b"tamarind-time-left"  # milliseconds until the client gives up
IDEMPOTENCY_KEY = b"idempotency-key"

# gateway to server or proxy
ATTEMPT = b"tamarind-attempt"
CUSTOMER = b"tamarind-customer"
PLAN = b"tamarind-plan"
CLASS = b"tamarind-class"
SERVER = b"tamarind-server"  # to a proxy: the chosen server
INSTANCE = b"tamarind-instance"  # to a proxy: the gateway instance that the report goes to
ZONE = b"tamarind-zone"  # of the client's network, if the configuration names one
REFUSALS = b"tamarind-refusals"  # from a proxy: as_403 or as_is, where the fleet's proxies differ
STATUS = b"tamarind-status"  # to a proxy that forwards only 401 and 403: the intended status

# server to gateway
FULL = b"tamarind-full"  # 1, with status 503: rejected before processing, nothing ran
LOAD = b"tamarind-load"  # name=number pairs, separated by commas

# gateway to client
OUTCOME = b"tamarind-outcome"  # served, refused, failed or rejected
RETRY_AFTER_MS = b"tamarind-retry-after-ms"
OWN_PREFIX = b"tamarind-"
