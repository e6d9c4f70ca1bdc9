"""OAuth 2.0 token introspection (RFC 7662), with caching, request coalescing and a circuit breaker."""
