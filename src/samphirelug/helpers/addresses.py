"""Parse IPv4 addresses with a port."""

import ipaddress

MAX_PORT = 65535


def split(address: str) -> tuple[str, int]:
    """Return host and port of an address such as 10.1.0.5:80.

    Raises ValueError if it is malformed. Host names are not accepted, since
    looking them up would block the event loop.
    """
    host, _, port = address.rpartition(":")
    ipaddress.IPv4Address(host)
    if not (port.isascii() and port.isdecimal()):
        raise ValueError(f"malformed port {port[:16]!r}")
    number = int(port) if len(port) <= 5 else 0
    if not 0 < number <= MAX_PORT:
        raise ValueError(f"port {port[:16]} is out of range")
    return host, number
