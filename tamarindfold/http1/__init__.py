"""HTTP/1.1 messages without I/O: parsed incrementally with llhttp and serialised to bytes (RFC 9112)."""
