"""General data structures; each is compared with a simpler alternative in benchmarks/."""
