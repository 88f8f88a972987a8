"""Parsers for the texts of settings: each returns a value or raises ValueError."""

import math
import re
from collections.abc import Callable

from cinderway._ids import Address

SHARED_KEY_MIN_CHARACTERS = 16
ADDRESS = re.compile(r"(\d{1,3}(?:\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):(\d{1,5})")
URL = re.compile(r"http://[0-9a-fA-F.:\[\]]+(/\S*)?")
NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")


def parse_address(text: str) -> Address:
    """Check that the text has the form `IP-number:port` and return it."""
    match = ADDRESS.fullmatch(text)
    if match is None or int(match[2]) > 65535:
        raise ValueError(text)
    return Address(text)


def parse_optional_address(text: str) -> Address:
    """Return an address, or an empty string for an empty text."""
    return parse_address(text) if text else Address("")


def parse_addresses(text: str) -> tuple[Address, ...]:
    """Return a tuple of comma-separated addresses, which may be empty."""
    return tuple(parse_address(part) for part in text.split(",") if part)


def parse_nonempty_addresses(text: str) -> tuple[Address, ...]:
    """Return a tuple of at least one comma-separated address."""
    addresses = parse_addresses(text)
    if not addresses:
        raise ValueError(text)
    return addresses


def parse_groups(text: str) -> tuple[tuple[Address, ...], ...]:
    """Return groups of comma-separated addresses; semicolons separate the groups."""
    return tuple(parse_addresses(group) for group in text.split(";") if group)


def parse_url(text: str) -> str:
    """Check that the text is empty or a URL whose host is an IP number; return it."""
    if text and not URL.fullmatch(text):
        raise ValueError(text)
    return text


def parse_name(text: str) -> str:
    """Check that the text is a name of an entry, data hall or header; return it."""
    if not NAME.fullmatch(text):
        raise ValueError(text)
    return text


def parse_header(text: str) -> bytes:
    """Return a header's name in lower case, or empty bytes for an empty text."""
    return parse_name(text).lower().encode() if text else b""


def parse_key(text: str) -> bytes:
    """Return a shared key, which must be long enough not to be guessed."""
    if len(text) < SHARED_KEY_MIN_CHARACTERS:
        raise ValueError(text)
    return text.encode()


def integer_parser(minimum: int, maximum: int) -> Callable[[str], int]:
    """Return a parser for integers from `minimum` to `maximum`."""

    def parse(text: str) -> int:
        value = int(text)
        if not minimum <= value <= maximum:
            raise ValueError(text)
        return value

    return parse


def number_parser(default: float) -> Callable[[str], float]:
    """Return a parser for numbers >= 0 that maps an empty text to the default."""

    def parse(text: str) -> float:
        value = float(text) if text else default
        if not (value >= 0 and math.isfinite(value)):
            raise ValueError(text)
        return value

    return parse


def one_of(*options: str) -> Callable[[str], str]:
    """Return a parser that accepts only the given texts."""

    def parse(text: str) -> str:
        if text not in options:
            raise ValueError(text)
        return text

    return parse


def parse_boolean(text: str) -> bool:
    """Parse `true` or `false`, ignoring case."""
    return {"true": True, "false": False}[one_of("true", "false")(text.lower())]
