"""Client of the shared counter service: one add with an expiry per call, over the Redis protocol (RESP)."""
