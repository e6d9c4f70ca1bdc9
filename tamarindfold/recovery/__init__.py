"""State kept across a restart: announced retry times, units spent from ceilings, learnt work per class."""
