"""Network addresses in the text form ``ip:port``, or ``[ip]:port`` for IPv6."""

import ipaddress
import socket
from dataclasses import dataclass

MAX_PORT = 65535


@dataclass(frozen=True, slots=True)
class Address:
    """An IP address, without brackets, and a port."""

    ip: str
    port: int

    def __str__(self) -> str:
        return f"[{self.ip}]:{self.port}" if ":" in self.ip else f"{self.ip}:{self.port}"

    @property
    def family(self) -> socket.AddressFamily:
        """Return the socket address family of the address."""
        return socket.AF_INET6 if ":" in self.ip else socket.AF_INET

    @property
    def is_loopback(self) -> bool:
        """Return whether the address is reachable from its own host only."""
        return ipaddress.ip_address(self.ip).is_loopback


def parse_address(text: str) -> Address:
    """Parse an address; raise ``ValueError`` if the text is not one."""
    host, _, port = text.rpartition(":")
    bracketed = host.startswith("[") and host.endswith("]")
    ip = host[1:-1] if bracketed else host
    if bracketed != (ipaddress.ip_address(ip).version == 6):
        raise ValueError(f"only an IPv6 address must be in brackets: {text}")
    if not (port.isascii() and port.isdigit() and int(port) <= MAX_PORT):
        raise ValueError(f"the port is not a number between 0 and {MAX_PORT}: {text}")
    return Address(ip, int(port))
