"""One HTTP/1.1 connection to an upstream slot."""

from fireflybridge_upstream._connection import UpstreamConnection

__all__ = ["UpstreamConnection"]
