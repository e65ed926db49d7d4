"""Route and pool tables: parsing, checks and revision order."""

from fireflybridge_tables._tables import Pool, Quota, Route, Tables, Upstream

__all__ = ["Pool", "Quota", "Route", "Tables", "Upstream"]
