"""HTTP API for callers and the operators' port."""
