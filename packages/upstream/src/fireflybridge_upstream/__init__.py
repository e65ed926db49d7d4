"""Persistent HTTP/1.1 connections to upstreams."""

from fireflybridge_upstream._connection import UpstreamConnection

__all__ = ["UpstreamConnection"]
