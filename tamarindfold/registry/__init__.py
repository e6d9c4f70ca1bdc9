"""The registry process: serves the store of keys and plans, and its changes, to the gateways."""
