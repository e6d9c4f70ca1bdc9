"""One connection that is kept to one address at a time."""
