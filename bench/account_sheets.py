"""Cost of sheets with many client accounts: packed size, time to decode and index.

python -m bench account_sheets [--routes 300]
"""

import argparse
import json
import random
import string
import time

from bench.figures import format_table, ms
from cinderway.catalog import AccountIndex, decode_sheet
from cinderway.catalog._compression import compress_sheet, decompress_sheet

ACCOUNT_COUNTS = (80, 1_000, 43_000)
KEYS_PER_ACCOUNT = 2
KEY_LENGTH = 20
LETTERS = string.ascii_lowercase + string.digits


def main(arguments: list[str]) -> None:
    """Measure sheets of several sizes and print a table."""
    parser = argparse.ArgumentParser(prog="python -m bench account_sheets")
    parser.add_argument("--routes", type=int, default=300)
    options = parser.parse_args(arguments)
    rows = [_measure(count, options.routes) for count in ACCOUNT_COUNTS]
    header = ["accounts", "bytes", "packed", "pack ms", "unpack, read ms", "index ms"]
    print(format_table(header, rows))


def _measure(count: int, routes: int) -> list[str]:
    body = _build_sheet(count, routes)
    packed, pack_ms = _timed(lambda: compress_sheet(body))
    sheet, read_ms = _timed(lambda: decode_sheet(decompress_sheet(packed)))
    _, index_ms = _timed(lambda: AccountIndex(sheet.accounts))
    sizes = [f"{count:,}", f"{len(body):,}", f"{len(packed):,}"]
    return sizes + [ms(value) for value in (pack_ms, read_ms, index_ms)]


def _timed(work):
    started_s = time.perf_counter()
    result = work()
    return result, (time.perf_counter() - started_s) * 1000


def _build_sheet(accounts: int, routes: int) -> bytes:
    rng = random.Random(1)

    def random_text(length: int) -> str:
        return "".join(rng.choices(LETTERS, k=length))

    rows = [
        {
            "name": random_text(7),
            "keys": [random_text(KEY_LENGTH) for _ in range(KEYS_PER_ACCOUNT)],
            "priority": 1,
            "rate_per_s": rng.randrange(2, 90),
            "burst": rng.randrange(2, 90),
        }
        for _ in range(accounts)
    ]
    route_rows = [
        {
            "name": random_text(9),
            "host": f"{random_text(6)}.example",
            "path_prefix": f"/{random_text(7)}/",
            "timeout_ms": 3000,
            "service": "lookup",
        }
        for _ in range(routes)
    ]
    sheet = {
        "version": 1,
        "routes": route_rows,
        "services": [{"name": "lookup"}],
        "accounts": rows,
    }
    return json.dumps(sheet).encode()
