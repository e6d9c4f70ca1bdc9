"""Settings, servers and roster that all instances agree on, with versions, leases and one fencing number."""
