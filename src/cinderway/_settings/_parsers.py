"""Parsers of settings' texts: each returns the value or raises ValueError."""

import math
import re
from collections.abc import Callable

from cinderway._ids import Address

SHARED_KEY_MIN_CHARACTERS = 16
ADDRESS = re.compile(r"(\d{1,3}(?:\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):(\d{1,5})")
URL = re.compile(r"http://[0-9a-fA-F.:\[\]]+(/\S*)?")
NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")


def parse_address(text: str) -> Address:
    """Return an IP number and port as `IP-number:port`."""
    match = ADDRESS.fullmatch(text)
    if match is None or int(match[2]) > 65535:
        raise ValueError(text)
    return Address(text)


def parse_optional_address(text: str) -> Address:
    """Return an address, or the empty text for none."""
    return parse_address(text) if text else Address("")


def parse_addresses(text: str) -> tuple[Address, ...]:
    """Return comma-separated addresses; there may be none."""
    return tuple(parse_address(part) for part in text.split(",") if part)


def parse_some_addresses(text: str) -> tuple[Address, ...]:
    """Return comma-separated addresses, at least one."""
    addresses = parse_addresses(text)
    if not addresses:
        raise ValueError(text)
    return addresses


def parse_groups(text: str) -> tuple[tuple[Address, ...], ...]:
    """Return groups of addresses, separated by semicolons."""
    return tuple(parse_addresses(group) for group in text.split(";") if group)


def parse_url(text: str) -> str:
    """Return a URL whose host is an IP number, or the empty text."""
    if text and not URL.fullmatch(text):
        raise ValueError(text)
    return text


def parse_name(text: str) -> str:
    """Return a name as entries, data halls and headers have."""
    if not NAME.fullmatch(text):
        raise ValueError(text)
    return text


def parse_header(text: str) -> bytes:
    """Return a header's name in lower case, or empty bytes for none."""
    return parse_name(text).lower().encode() if text else b""


def parse_key(text: str) -> bytes:
    """Return a shared key, which must not be too short to be secret."""
    if len(text) < SHARED_KEY_MIN_CHARACTERS:
        raise ValueError(text)
    return text.encode()


def integer(minimum: int, maximum: int) -> Callable[[str], int]:
    """Return a parser of whole numbers from `minimum` to `maximum`."""

    def parse(text: str) -> int:
        value = int(text)
        if not minimum <= value <= maximum:
            raise ValueError(text)
        return value

    return parse


def number_or(default: float) -> Callable[[str], float]:
    """Return a parser of numbers from 0 on; the empty text stands for the default."""

    def parse(text: str) -> float:
        value = float(text) if text else default
        if not (value >= 0 and math.isfinite(value)):
            raise ValueError(text)
        return value

    return parse


def one_of(*options: str) -> Callable[[str], str]:
    """Return a parser that takes just these texts."""

    def parse(text: str) -> str:
        if text not in options:
            raise ValueError(text)
        return text

    return parse


def parse_flag(text: str) -> bool:
    """Return whether the text is `true`, not `false`, in any case."""
    return {"true": True, "false": False}[one_of("true", "false")(text.lower())]
