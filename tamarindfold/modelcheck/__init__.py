"""Model checker: runs the production state machines through many orders of events and checks invariants."""
