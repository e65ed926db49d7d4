"""Stand-in for upstream workers: records every start and can be told to misbehave."""
