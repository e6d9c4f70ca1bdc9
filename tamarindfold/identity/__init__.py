"""API keys, OAuth clients, customers and plans: the registry's data model, storage and replication."""
