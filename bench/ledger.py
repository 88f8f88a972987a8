"""Ledger benchmark: claims per second and their latency, with synced disks.

python -m bench ledger [--seconds 5]
"""

import argparse
import asyncio
import time
import uuid

import anyio

from bench.figures import format_table, ms, percentiles_ms
from cinderway._clock import monotonic_ms
from cinderway.ledger import Claim, ClaimName, Finish, LedgerClient, Resolution
from cinderway.wire import Identity
from standins.fleet import SHARED_KEY, Fleet

CONCURRENCY_LEVELS = (1, 8, 32, 128)
CALL_TIMEOUT_MS = 10_000


async def claim_for(
    addresses: list[str], concurrency: int, seconds: float
) -> list[float]:
    """Claim and finish without pauses; return the latencies of the claims in s."""
    latencies_s: list[float] = []
    identity = Identity("bench", SHARED_KEY.encode())
    end_s = time.perf_counter() + seconds

    async def claimant(ledger: LedgerClient, number: int) -> None:
        while time.perf_counter() < end_s:
            key = str(uuid.uuid4())
            name = ClaimName("payouts", f"caller-{number}", key)
            claim = Claim(name, b"f" * 16, key, "bench", 5_000, 3_600_000)
            began_s = time.perf_counter()
            await ledger.claim(claim, monotonic_ms() + CALL_TIMEOUT_MS)
            latencies_s.append(time.perf_counter() - began_s)
            finish = Finish(name, key, Resolution.RAN)
            await ledger.finish(finish, monotonic_ms() + CALL_TIMEOUT_MS)

    async with anyio.create_task_group() as tasks:
        ledger = LedgerClient((tuple(addresses),), identity, tasks)
        async with anyio.create_task_group() as claimants:
            for number in range(concurrency):
                claimants.start_soon(claimant, ledger, number)
        tasks.cancel_scope.cancel()
    return latencies_s


def main(arguments: list[str]) -> None:
    """Print claims per second and latencies with 3 and 5 replicas."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=4)
    options = parser.parse_args(arguments)
    rows = []
    for replicas in (3, 5):
        fleet = Fleet([], [], ["suva"], entries=0, control=0, ledger=replicas)
        try:
            fleet.bootstrap_group("ledger")
            for address in fleet.ledger:
                fleet.start_replica("ledger", address)
            time.sleep(4)
            for concurrency in CONCURRENCY_LEVELS:
                latencies_s = asyncio.run(
                    claim_for(fleet.ledger, concurrency, options.seconds)
                )
                p50, p99, worst = percentiles_ms(latencies_s)
                rate = len(latencies_s) / options.seconds
                rows.append(
                    [replicas, concurrency, f"{rate:.0f}", ms(p50), ms(p99), ms(worst)]
                )
                print(rows[-1], flush=True)
        finally:
            fleet.stop()
    header = ["replicas", "concurrent claims", "claims/s", "p50 ms", "p99 ms", "max ms"]
    print(format_table(header, rows))
