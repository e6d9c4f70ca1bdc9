"""Header names, query keys and paths of the platform's protocols; no other module spells them out."""

# headers from client to ingress
CALL_ID = b"x-call-id"
CALL_CLASS = b"x-call-class"
CONTRACT = b"x-contract"
BUDGET = b"x-budget"
METERING = b"x-metering"
AGAIN = b"x-again"
KEY = b"key"  # in the query

# headers from backend to ingress
REJECTED = b"x-rejected"
LOAD_REPORT = b"x-load-report"

HOST = b"origin.svc"
READY = b"/health/ready"
INSTANCES = b"/registry/instances"
