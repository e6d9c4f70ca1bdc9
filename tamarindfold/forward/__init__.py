"""Forward authentication: a reverse proxy asks, for each request, whether it may pass."""
