"""Fleet membership: the list of servers as the feed publishes it, saved to disk for a restart."""
