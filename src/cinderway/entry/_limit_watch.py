"""The rate limits that backend servers announce, as one entry knows them.

Part of the blackboard: limits come from answers to this entry's requests and from other
processes; those learned from answers are reported to the others.
"""

import logging
from dataclasses import dataclass, field

import anyio

from cinderway._ids import ServerName
from cinderway.pushback import (
    EntryGroup,
    PushbackHeaders,
    PushbackStore,
    RateLimit,
    ServerLimits,
    ServerPushback,
)

logger = logging.getLogger(__name__)


@dataclass
class LimitWatch:
    """Tracks the servers' rate limits and which of them are still to be reported."""

    store: PushbackStore
    has_changes: anyio.Event = field(default_factory=anyio.Event)
    _unreported: dict[ServerName, None] = field(default_factory=dict)

    def record_headers(
        self,
        server: ServerName,
        server_pushback: ServerPushback,
        headers: PushbackHeaders,
        now_ms: int,
        *,
        ends_without: bool,
    ) -> None:
        """Record what an answer to this entry says about its server's rate limit.

        An answer without a limit ends the current one if `ends_without` is set; an
        answer with an unreadable limit changes nothing.
        """
        if headers.rate_limit_per_s is not None:
            limit = RateLimit(headers.rate_limit_per_s, now_ms)
        elif (
            headers.has_limit_header
            or not ends_without
            or not server_pushback.is_limited(now_ms)
        ):
            return
        else:
            limit = RateLimit(None, now_ms)
        self._record(server, server_pushback, limit, now_ms)

    def receive_limits(
        self,
        reported: ServerLimits,
        pushback_by_server: dict[ServerName, ServerPushback],
        now_ms: int,
    ) -> None:
        """Apply the limits that other processes learned of."""
        for line in reported.lines:
            server_pushback = pushback_by_server.get(line.server) or self.store.of(
                line.server
            )
            self._apply(line.server, server_pushback, line.limit(now_ms), now_ms)

    def pop_changes(self, now_ms: int) -> ServerLimits:
        """Return the limits that were learned from answers since the last call."""
        changed, self._unreported = self._unreported, {}
        # An event that is not set may have waiters: it must not be replaced.
        if self.has_changes.is_set():
            self.has_changes = anyio.Event()
        limits = {server: self.store.limits.of(server) for server in changed}
        known = {server: limit for server, limit in limits.items() if limit is not None}
        return ServerLimits.of(known, now_ms)

    def requeue(self, reported: ServerLimits) -> None:
        """Queue limits again whose report could not be sent."""
        self._unreported.update((line.server, None) for line in reported.lines)
        self.has_changes.set()

    def limits(self, now_ms: int) -> ServerLimits:
        """Return all current limits, for a replica that may not know them."""
        return ServerLimits.of(self.store.limits.get_valid(now_ms), now_ms)

    def apply_group(self, group: EntryGroup, now_ms: int) -> None:
        """Apply the group of entries that share the servers' rate limits."""
        if group != self.store.group:
            logger.info(
                "servers' rates are divided among %d entries of group %s, one of %d",
                len(group.entries),
                group.name,
                len(group.groups),
            )
        self.store.apply_group(group, now_ms)

    def _record(
        self,
        server: ServerName,
        server_pushback: ServerPushback,
        limit: RateLimit,
        now_ms: int,
    ) -> None:
        if self._apply(server, server_pushback, limit, now_ms):
            self._unreported[server] = None
            self.has_changes.set()

    def _apply(
        self,
        server: ServerName,
        server_pushback: ServerPushback,
        limit: RateLimit,
        now_ms: int,
    ) -> bool:
        is_new = self.store.apply_limit(server, server_pushback, limit, now_ms)
        if is_new and server_pushback.bucket is None:
            logger.info("backend server %s no longer has a rate limit", server)
        elif is_new:
            logger.info(
                "backend server %s accepts %g requests/s from all entries, as of %d ms "
                "ago; this entry sends %g/s",
                server,
                server_pushback.bucket.rate_per_s,
                now_ms - limit.received_at_ms,
                server_pushback.bucket.share_per_s,
            )
        return is_new
