"""Live daemons, and the owners of upstreams and claim shards."""
