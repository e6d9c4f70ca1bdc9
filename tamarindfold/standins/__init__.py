"""Test doubles of the systems around the gateway, for tests and rehearsals."""
