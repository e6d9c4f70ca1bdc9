"""The platform's protocol without I/O: configuration, requests, answers, backends, registry, counter."""
