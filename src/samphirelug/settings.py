"""Define the settings of an entry host and validate them."""

import ipaddress
import re
from typing import NamedTuple
import urllib.parse

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from samphirelug import result_codes

NAME_PATTERN = re.compile(r"[a-z0-9][a-z0-9.-]{0,62}")
SECRET_MIN_CHARACTERS = 16
LOG_LEVELS = ("DEBUG", "INFO", "WARNING", "ERROR")
PORT_ALLOWED = "0 to 65535"


class Bounds(NamedTuple):
    """Represent the inclusive bounds of a setting."""

    low: float
    high: float

    @property
    def text(self) -> str:
        """Return the bounds as shown in messages and help texts."""
        return f"{self.low:g} to {self.high:g}"


BOUNDS = {
    "seat-lease-s": Bounds(1.0, 86_400.0),
    "lookup-keep-s": Bounds(0.0, 600.0),
    "probe-interval-s": Bounds(0.1, 600.0),
}


class EntryHostSettings(NamedTuple):
    """Represent the settings of an entry host."""

    name: str
    availability_zone: str
    region: str
    # IPv4 address to listen on, and the one that callers and peers use.
    listen_address: str
    advertise_address: str
    # Ports for callers, indexed by Rank value; 0 selects a free port.
    caller_ports: tuple[int, int, int]
    peer_port: int
    operator_port: int
    store_url: str
    cluster: str
    cluster_secret: str
    # WebSocket URLs of the peers to connect to first.
    peers: tuple[str, ...]
    seat_lease_s: float
    lookup_keep_s: float
    probe_interval_s: float
    log_level: str


class AddressUnavailableError(Exception):
    """Raised when the process cannot listen on an address."""

    def __init__(
        self, *, flag: str, address: str, port: int, error: OSError
    ) -> None:
        super().__init__(str(error))
        self.refusal = _invalid(
            flag,
            port,
            f"a port that this process can listen on at {address}, or 0"
            f" ({error.strerror})",
        )


def _invalid(flag: str, value: object, allowed: str) -> result_codes.Refusal:
    return result_codes.Refusal(
        result_codes.ResultCode.SETTING_INVALID,
        f"--{flag} is {value!r}; allowed is {allowed}",
    )


def check(
    settings: EntryHostSettings,
) -> Result[EntryHostSettings, result_codes.Refusal]:
    """Return the settings, or SETTING_INVALID for the first bad one."""
    for refusal in (
        _check_names(settings),
        _check_addresses(settings),
        _check_ports(settings),
        _check_urls(settings),
        _check_intervals(settings),
    ):
        if refusal is not None:
            return Failure(refusal)
    return Success(settings)


def _check_names(
    settings: EntryHostSettings,
) -> result_codes.Refusal | None:
    for flag, value in (
        ("name", settings.name),
        ("availability-zone", settings.availability_zone),
        ("region", settings.region),
        ("cluster", settings.cluster),
    ):
        if not NAME_PATTERN.fullmatch(value):
            return _invalid(
                flag, value, "1 to 63 lower-case letters, digits, '.' or '-'"
            )
    if len(settings.cluster_secret) < SECRET_MIN_CHARACTERS:
        return _invalid(
            "cluster-secret",
            "***",
            f"at least {SECRET_MIN_CHARACTERS} characters",
        )
    if settings.log_level not in LOG_LEVELS:
        return _invalid(
            "log-level", settings.log_level, f"one of {', '.join(LOG_LEVELS)}"
        )
    return None


def _check_addresses(
    settings: EntryHostSettings,
) -> result_codes.Refusal | None:
    # Only IPv4: URLs are built from the advertised address, and an IPv6
    # address would need brackets there.
    for flag, value in (
        ("listen-address", settings.listen_address),
        ("advertise-address", settings.advertise_address),
    ):
        try:
            address = ipaddress.IPv4Address(value)
        except ValueError:
            return _invalid(flag, value, "an IPv4 address")
        if flag == "advertise-address" and address.is_unspecified:
            return _invalid(
                flag, value, "the IPv4 address that others reach the host at"
            )
    return None


def _check_ports(
    settings: EntryHostSettings,
) -> result_codes.Refusal | None:
    for flag, port in (
        ("urgent-port", settings.caller_ports[0]),
        ("interactive-port", settings.caller_ports[1]),
        ("export-port", settings.caller_ports[2]),
        ("peer-port", settings.peer_port),
        ("operator-port", settings.operator_port),
    ):
        if not 0 <= port <= 65535:
            return _invalid(flag, port, PORT_ALLOWED)
    return None


def _check_urls(settings: EntryHostSettings) -> result_codes.Refusal | None:
    if not _is_url(settings.store_url, "http"):
        return _invalid(
            "store-url", settings.store_url, "http://<address>:<port>"
        )
    for peer in settings.peers:
        if not _is_url(peer, "ws"):
            return _invalid("peer", peer, "ws://<address>:<port>")
    return None


def _check_intervals(
    settings: EntryHostSettings,
) -> result_codes.Refusal | None:
    for flag, value in (
        ("seat-lease-s", settings.seat_lease_s),
        ("lookup-keep-s", settings.lookup_keep_s),
        ("probe-interval-s", settings.probe_interval_s),
    ):
        bounds = BOUNDS[flag]
        # NaN is rejected, since every comparison with it is false.
        if not bounds.low <= value <= bounds.high:
            return _invalid(flag, value, bounds.text)
    return None


def _is_url(value: str, scheme: str) -> bool:
    try:
        parts = urllib.parse.urlsplit(value)
        return parts.scheme == scheme and parts.port is not None
    except ValueError:
        return False
