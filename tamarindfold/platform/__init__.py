"""The platform's protocols without I/O: configuration, requests, responses, backends, registry, counter."""
