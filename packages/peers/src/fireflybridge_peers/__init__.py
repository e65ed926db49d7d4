"""Authenticated message links between daemons."""
