"""Gossip between the entries of a data hall while no control replica is reachable.

A single entry sees too few requests to detect failing servers quickly. Messages go out
as UDP datagrams. A lost datagram does no harm: it holds only current observations, and
the next one follows soon. Each datagram carries a MAC made with the shared key, because
its content redirects traffic.
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

MAC_BYTES = 16
# The longest key that BLAKE2b accepts.
MAX_KEY_BYTES = 64
# Keeps datagrams below the size at which they are fragmented (1,500 bytes), at some
# forty bytes for each server.
SERVERS_PER_DATAGRAM = 25
# Most peers that one message is sent to; with more in the data hall, each message goes
# to a new random sample.
GOSSIP_FANOUT = 16
# Longest delay of other messages while no server's load changes.
GOSSIP_INTERVAL_S = 0.1
# Pause after each round: changes within this time are sent together.
GOSSIP_MIN_PAUSE_S = 0.01


@dataclass
class HallPeers:
    """Exchanges observations with the other entries of the data hall."""

    state: CatalogBoard
    own_address: Address
    shared_key: bytes
    is_needed: Callable[[], bool]
    # Returns once no control replica is followed.
    wait_until_needed: Callable[[], Awaitable[None]]
    sent_messages: int = 0
    received_messages: int = 0
    _socket: UDPSocket | None = field(default=None)

    async def run(self) -> None:
        """Send and receive until cancelled."""
        host, port = split_address(self.own_address)
        async with await anyio.create_udp_socket(
            local_host=host.strip("[]"), local_port=port
        ) as self._socket:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._gossip)
                async for data, _ in self._socket:
                    self.receive_datagram(data)

    async def _gossip(self) -> None:
        while True:
            await self.wait_until_needed()
            with anyio.move_on_after(GOSSIP_INTERVAL_S):
                await self.state.loads_changed.wait()
            if not self.is_needed():
                continue
            for message in self.take_pending_messages():
                await self._send_to_peers(self.encode_datagram(message))
            await anyio.sleep(GOSSIP_MIN_PAUSE_S)

    def take_pending_messages(self) -> Iterator[Message]:
        """Yield messages with what changed here since the last call."""
        suspects = self.state.pop_suspects(monotonic_ms())
        if suspects.servers:
            yield suspects
        runs = self.state.poison.pop_runs()
        if runs.ended or runs.good:
            yield runs
        limits = self.state.board.limits.pop_changes(monotonic_ms())
        for start in range(0, len(limits.lines), SERVERS_PER_DATAGRAM):
            yield ServerLimits(limits.lines[start : start + SERVERS_PER_DATAGRAM])
        loads = self.state.pop_loads(monotonic_ms()).servers
        for start in range(0, len(loads), SERVERS_PER_DATAGRAM):
            yield ServerLoads(loads[start : start + SERVERS_PER_DATAGRAM])

    async def _send_to_peers(self, datagram: bytes) -> None:
        peers = [peer for peer in self.state.peers if peer != self.own_address]
        if len(peers) > GOSSIP_FANOUT:
            peers = self.state.board.rng.sample(peers, GOSSIP_FANOUT)
        for peer in peers:
            host, port = split_address(peer)
            try:
                await self._socket.sendto(datagram, host.strip("[]"), port)
            except OSError as error:
                logger.debug("cannot send to peer %s: %s", peer, error)
        self.sent_messages += 1

    def receive_datagram(self, data: bytes) -> None:
        """Apply a peer's message if its MAC is valid."""
        mac, payload = data[:MAC_BYTES], data[MAC_BYTES:]
        if not hmac.compare_digest(mac, self._compute_mac(payload)):
            logger.debug("dropped a datagram of %d bytes: invalid MAC", len(data))
            return
        try:
            message = CATALOG.decode(payload, peer="a peer").message
        except CinderwayError as error:
            logger.debug("dropped a datagram that cannot be decoded: %s", error)
            return
        self.received_messages += 1
        self.state.receive_message(message, monotonic_ms())

    def encode_datagram(self, message: Message) -> bytes:
        """Encode a message as a datagram: its MAC, then the payload."""
        payload = CATALOG.encode(message)
        return self._compute_mac(payload) + payload

    def _compute_mac(self, payload: bytes) -> bytes:
        key = self.shared_key[:MAX_KEY_BYTES]
        return hashlib.blake2b(payload, key=key, digest_size=MAC_BYTES).digest()
