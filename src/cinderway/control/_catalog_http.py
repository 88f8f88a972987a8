"""The catalog's HTTP interface, for operators and backend servers.

    PUT    /v1/sheet         replace the route sheet; 200 once it is durable
    GET    /v1/sheet         the newest sheet, by the leader only; others redirect
    PUT    /v1/servers/ID    a backend server's heartbeat
    DELETE /v1/servers/ID    deregister a backend server for good
    GET    /v1/servers       the registered servers and start times, as known here
    GET    /v1/accounts      client accounts and their use by this replica's entries
    GET    /v1/refusals      requests ruled on after servers ended, as known here
    PUT    /v1/refusals/D    refuse the request with a digest, everywhere
    DELETE /v1/refusals/D    allow that request again, everywhere

An answer of 4xx is final; after 503 the call may be retried here or at another replica.
"""

import logging
from dataclasses import dataclass, field

import msgspec

from cinderway._clock import monotonic_ms
from cinderway._errors import CinderwayError, ErrorCode, Step
from cinderway._http_body import read_full_body
from cinderway._ids import RequestDigest, ServerName
from cinderway.catalog import (
    ACCOUNTS_PATH,
    REFUSALS_PATH,
    SERVERS_PATH,
    Deregister,
    InstallSheet,
    RefusalRow,
    Register,
    RegisteredServer,
    Reinstate,
    decode_deregistration,
    decode_heartbeat,
    decode_new_sheet,
    parse_digest,
    parse_server_id,
)
from cinderway.control._catalog_service import CatalogService
from cinderway.control._displaced_liveness import DisplacedLiveness
from cinderway.control._refused_heartbeats import RefusedHeartbeats

logger = logging.getLogger(__name__)

SHEET_PATH = "/v1/sheet"
SERVERS_PREFIX = f"{SERVERS_PATH}/"
REFUSALS_PREFIX = f"{REFUSALS_PATH}/"
SHEET_LIMIT_BYTES = 32 * 1024 * 1024
HEARTBEAT_LIMIT_BYTES = 64 * 1024
# Less than the second that clients wait for an answer.
READ_TIMEOUT_S = 0.9
JSON = b"application/json"
RETRY_AFTER_S = 0.3

STATUS_OF_CODE = {
    ErrorCode.SHEET_INVALID: 400,
    ErrorCode.HEARTBEAT_INVALID: 400,
    ErrorCode.DIGEST_INVALID: 400,
    ErrorCode.REQUEST_TOO_LARGE: 413,
}
OK = 200
TEMPORARY_REDIRECT = 307
NOT_FOUND = 404
UNAVAILABLE = 503


@dataclass(frozen=True)
class Answer:
    """An HTTP response with a JSON body."""

    status: int
    body: bytes = b"{}"
    headers: tuple[tuple[bytes, bytes], ...] = ()


@dataclass
class CatalogHttp:
    """The ASGI application of one control replica."""

    service: CatalogService
    liveness: DisplacedLiveness = field(default_factory=DisplacedLiveness)
    refused: RefusedHeartbeats = field(default_factory=RefusedHeartbeats)

    async def __call__(self, scope, receive, send) -> None:
        """Serve one request."""
        if scope["type"] != "http":
            return
        call = (scope["method"], scope["path"])
        try:
            answer = await self._answer(call, receive)
        except CinderwayError as error:
            answer = _refusal(error)
            if self._should_log(call, answer, error):
                logger.info("%s %s: %d, %s", *call, answer.status, error)
        await _respond(send, answer)

    def _should_log(
        self, call: tuple[str, str], answer: Answer, error: CinderwayError
    ) -> bool:
        """Whether to log a refusal; servers repeat refused calls for ever."""
        _, path = call
        if not path.startswith(SERVERS_PREFIX):
            return True
        if answer.status == UNAVAILABLE:
            return False
        return self.refused.record_refusal(
            ServerName(path.removeprefix(SERVERS_PREFIX)), str(error)
        )

    async def _answer(self, call, receive) -> Answer:
        match call:
            case ("PUT", path) if path == SHEET_PATH:
                return await self._put_sheet(receive)
            case ("GET", path) if path == SHEET_PATH:
                return await self._get_sheet()
            case ("GET", path) if path == ACCOUNTS_PATH:
                return self._list_accounts()
            case ("GET", path) if path == SERVERS_PATH:
                return self._list_servers()
            case ("GET", path) if path == REFUSALS_PATH:
                return self._list_refusals()
            case ("PUT", path) if path.startswith(REFUSALS_PREFIX):
                self.service.hall.poison.bar(_parse_digest_path(path))
                return Answer(OK)
            case ("DELETE", path) if path.startswith(REFUSALS_PREFIX):
                self.service.hall.poison.lift(_parse_digest_path(path))
                return Answer(OK)
            case ("PUT", path) if path.startswith(SERVERS_PREFIX):
                server_id = parse_server_id(path.removeprefix(SERVERS_PREFIX))
                return await self._put_server(server_id, receive)
            case ("DELETE", path) if path.startswith(SERVERS_PREFIX):
                server_id = parse_server_id(path.removeprefix(SERVERS_PREFIX))
                return await self._delete_server(server_id, receive)
        return Answer(NOT_FOUND)

    async def _put_sheet(self, receive) -> Answer:
        body = await _read_body(receive, SHEET_LIMIT_BYTES)
        sheet = decode_new_sheet(body)
        held = self.service.machine.sheet
        await self.service.commands.submit(InstallSheet.from_body(body))
        logger.info(
            "sheet version %d acknowledged; previous version: %s",
            sheet.version,
            held.version if held else "none",
        )
        return Answer(OK)

    async def _get_sheet(self) -> Answer:
        node = self.service.node
        if not node.core.is_leader:
            return self._redirect()
        await node.read_barrier(READ_TIMEOUT_S)
        if self.service.machine.sheet is None:
            raise CinderwayError(
                ErrorCode.TABLE_UNKNOWN,
                "no route sheet has been installed yet",
                step=Step.CHECK_EDIT,
            )
        return Answer(OK, self.service.machine.sheet_body)

    def _list_accounts(self) -> Answer:
        found = self.service.allowances.uses(monotonic_ms())
        return Answer(OK, msgspec.json.encode(found))

    def _list_refusals(self) -> Answer:
        now_ms = monotonic_ms()
        held = self.service.hall.poison.tally.rulings(now_ms)
        return Answer(
            OK, msgspec.json.encode([RefusalRow.from_ruling(r, now_ms) for r in held])
        )

    def _list_servers(self) -> Answer:
        found = list(self.service.machine.registry.servers.values())
        return Answer(OK, msgspec.json.encode(found))

    def _redirect(self) -> Answer:
        leader = self.service.machine.replicas.get(self.service.node.leader_address)
        if leader is None:
            raise CinderwayError(
                ErrorCode.NO_QUORUM, "this replica knows no leader", step=Step.PROPOSE
            )
        location = f"http://{leader.http_address}{SHEET_PATH}"
        headers = ((b"location", location.encode()),)
        return Answer(TEMPORARY_REDIRECT, headers=headers)

    async def _put_server(self, server_id, receive) -> Answer:
        body = await _read_body(receive, HEARTBEAT_LIMIT_BYTES)
        server = decode_heartbeat(server_id, body)
        registry = self.service.machine.registry
        displaced = registry.find_displaced_start(server)
        if displaced is not None:
            if self.liveness.record_heartbeat(displaced.server_id, monotonic_ms()):
                await self.service.commands.submit(Reinstate(server))
                _log_server(server, "reinstated")
        elif not registry.compute_change(server).is_empty:
            await self.service.commands.submit(Register(server))
            _log_server(server, server.status.value)
        return Answer(OK)

    async def _delete_server(self, server_id, receive) -> Answer:
        body = await _read_body(receive, HEARTBEAT_LIMIT_BYTES)
        started_at_ms = decode_deregistration(server_id, body)
        if not self.service.machine.registry.has_left(server_id, started_at_ms):
            await self.service.commands.submit(Deregister(server_id, started_at_ms))
            logger.info(
                "backend server %s, %s, is deregistered",
                server_id,
                _format_start(started_at_ms),
            )
        return Answer(OK)


def _parse_digest_path(path: str) -> RequestDigest:
    return parse_digest(path.removeprefix(REFUSALS_PREFIX))


def _log_server(server: RegisteredServer, what: str) -> None:
    logger.info(
        "backend server %s of %s at %s, %s, is %s",
        server.server_id,
        server.service,
        server.address,
        _format_start(server.started_at_ms),
        what,
    )


def _format_start(started_at_ms: int) -> str:
    return f"started at {started_at_ms}" if started_at_ms else "start time not given"


async def _read_body(receive, limit_bytes: int) -> bytes:
    body = await read_full_body(receive, limit_bytes)
    if body is None:
        raise CinderwayError(
            ErrorCode.PEER_UNREACHABLE,
            "the request body ended early",
            step=Step.RECEIVE,
        )
    return body


def _refusal(error: CinderwayError) -> Answer:
    status = STATUS_OF_CODE.get(error.code, UNAVAILABLE)
    body = msgspec.json.encode({"code": error.code.value, "detail": error.detail})
    if status != UNAVAILABLE:
        return Answer(status, body)
    return Answer(status, body, ((b"retry-after", str(RETRY_AFTER_S).encode()),))


async def _respond(send, answer: Answer) -> None:
    headers = [
        (b"content-type", JSON),
        (b"content-length", b"%d" % len(answer.body)),
        *answer.headers,
    ]
    await send(
        {"type": "http.response.start", "status": answer.status, "headers": headers}
    )
    await send({"type": "http.response.body", "body": answer.body})
