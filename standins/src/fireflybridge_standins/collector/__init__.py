"""Stand-in for an OTLP collector: takes spans over HTTP in JSON and lists them."""
