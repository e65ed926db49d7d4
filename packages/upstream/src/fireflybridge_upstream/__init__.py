"""One HTTP/1.1 connection to an upstream slot."""
