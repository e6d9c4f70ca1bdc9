"""Generated from registry.proto by `make proto`."""
