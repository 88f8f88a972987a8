"""What entries of a hall tell each other while no control replica can be reached.

Each sees too few requests to find failing servers soon by itself. A datagram that is
lost is no harm: it holds news of this moment, and the next one follows. Each is proved
by the shared key, since what it says moves traffic.
"""

import hashlib
import hmac
import logging
from collections.abc import Awaitable, Callable, Iterator
from dataclasses import dataclass, field

import anyio
from anyio.abc import UDPSocket

from cinderway._clock import monotonic_ms
from cinderway._errors import CinderwayError
from cinderway._ids import Address
from cinderway.catalog import CATALOG, ServerLoads
from cinderway.entry._catalog_board import CatalogBoard
from cinderway.pushback import ServerLimits
from cinderway.wire import Message, split_address

logger = logging.getLogger(__name__)

PROOF_BYTES = 16
# Source: blake2b takes no longer key.
KEY_BYTES = 64
# Below the size at which datagrams are split on the way (1,500 bytes), with some forty
# bytes for each server.
SERVERS_A_DATAGRAM = 25
# Entries of one hall that are told; where there are more, others are drawn each time.
PEERS_TOLD = 16
# Without a change of a load other news is told this late.
NEWS_PAUSE_S = 0.1
# News of this time is told together.
TELL_PAUSE_S = 0.01


@dataclass
class HallPeers:
    """Tells the hall's other entries what this one knows, and hears them."""

    state: CatalogBoard
    own_address: Address
    shared_key: bytes
    is_needed: Callable[[], bool]
    # Returns once no control replica is followed.
    wait_needed: Callable[[], Awaitable[None]]
    told: int = 0
    heard: int = 0
    _socket: UDPSocket | None = field(default=None)

    async def run(self) -> None:
        """Tell and hear until cancelled."""
        host, port = split_address(self.own_address)
        async with await anyio.create_udp_socket(
            local_host=host.strip("[]"), local_port=port
        ) as self._socket:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._tell)
                async for data, _ in self._socket:
                    self.hear(data)

    async def _tell(self) -> None:
        while True:
            await self.wait_needed()
            with anyio.move_on_after(NEWS_PAUSE_S):
                await self.state.loads_changed.wait()
            if not self.is_needed():
                continue
            for message in self.news():
                await self._send(self.seal(message))
            await anyio.sleep(TELL_PAUSE_S)

    def news(self) -> Iterator[Message]:
        """Yield what came to be known here since the last call."""
        suspects = self.state.take_suspects(monotonic_ms())
        if suspects.servers:
            yield suspects
        runs = self.state.poison.take_runs()
        if runs.ended or runs.good:
            yield runs
        limits = self.state.board.limits.take_news(monotonic_ms())
        for start in range(0, len(limits.lines), SERVERS_A_DATAGRAM):
            yield ServerLimits(limits.lines[start : start + SERVERS_A_DATAGRAM])
        loads = self.state.take_loads(monotonic_ms()).servers
        for start in range(0, len(loads), SERVERS_A_DATAGRAM):
            yield ServerLoads(loads[start : start + SERVERS_A_DATAGRAM])

    async def _send(self, datagram: bytes) -> None:
        peers = [peer for peer in self.state.peers if peer != self.own_address]
        if len(peers) > PEERS_TOLD:
            peers = self.state.board.rng.sample(peers, PEERS_TOLD)
        for peer in peers:
            host, port = split_address(peer)
            try:
                await self._socket.sendto(datagram, host.strip("[]"), port)
            except OSError as error:
                logger.debug("news was not sent to %s: %s", peer, error)
        self.told += 1

    def hear(self, data: bytes) -> None:
        """Take over what another entry knows, if it holds the shared key."""
        proof, payload = data[:PROOF_BYTES], data[PROOF_BYTES:]
        if not hmac.compare_digest(proof, self._proof(payload)):
            logger.debug("a datagram of %d bytes has no valid proof", len(data))
            return
        try:
            message = CATALOG.decode(payload, peer="a peer").message
        except CinderwayError as error:
            logger.debug("a peer's news cannot be read: %s", error)
            return
        self.heard += 1
        self.state.hear(message, monotonic_ms())

    def seal(self, message: Message) -> bytes:
        """Return a message's datagram."""
        payload = CATALOG.encode(message)
        return self._proof(payload) + payload

    def _proof(self, payload: bytes) -> bytes:
        key = self.shared_key[:KEY_BYTES]
        return hashlib.blake2b(payload, key=key, digest_size=PROOF_BYTES).digest()
