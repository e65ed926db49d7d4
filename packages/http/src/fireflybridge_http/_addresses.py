"""Addresses of the form ``ip:port``."""

import ipaddress

HIGHEST_PORT = 65535


def check_address(text: str) -> str:
    """Return a text of the form ``ip:port``; raise ``ValueError`` if it has another one."""
    host, _, port = text.rpartition(":")
    ipaddress.IPv4Address(host)
    if not (port.isascii() and port.isdigit() and 0 < int(port) <= HIGHEST_PORT):
        raise ValueError(f"port {port!r}")
    return text
