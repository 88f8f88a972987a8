"""Rules that involve several rows; an edit that breaks one is refused."""

from collections.abc import Mapping

from cinderway._errors import CinderwayError, ErrorCode, Step
from cinderway._ids import ServerName, ServiceName
from cinderway.table._rows import ServerRow, ServiceRow, Sheet
from cinderway.table._table import Row, RowKey, Table, unique_values

TouchedRows = Mapping[RowKey, Row | None]
ServersByService = dict[ServiceName, dict[ServerName, ServerRow]]


def check_rules(table: Table, touched: TouchedRows) -> None:
    """Raise RULE_BROKEN if the table with the touched rows would break a rule.

    Besides uniqueness, only services are checked that a touched row belongs to before
    or after the edit, so that the cost does not grow with the table.
    """
    _check_unique(table, touched)
    for service, servers in sorted(_servers_after_edit(table, touched).items()):
        _check_service(table, touched, service, servers)


def _check_unique(table: Table, touched: TouchedRows) -> None:
    claimed: dict[tuple[Sheet, str], str] = {}
    for key, row in touched.items():
        if row is None:
            continue
        for text in unique_values(row.typed):
            owner = claimed.setdefault((key.sheet, text), key.name)
            if owner == key.name:
                owner = _untouched_owner(table, touched, key, text) or key.name
            if owner != key.name:
                raise _rule_broken(
                    f"{key.sheet.value} row {key.name!r}: {text} "
                    f"already belongs to {owner!r}"
                )


def _untouched_owner(
    table: Table, touched: TouchedRows, key: RowKey, text: str
) -> str | None:
    owner = table.find_owner(key.sheet, text)
    if owner is None or RowKey(key.sheet, owner) in touched:
        return None
    return owner


def _servers_after_edit(table: Table, touched: TouchedRows) -> ServersByService:
    servers: ServersByService = {
        service: dict(table.servers_of(service))
        for service in _affected_services(table, touched)
    }
    for key, row in touched.items():
        if key.sheet is not Sheet.SERVERS:
            continue
        before = table.get(key)
        if before is not None:
            servers[before.typed.service].pop(key.name, None)
        if row is not None:
            servers[row.typed.service][key.name] = row.typed
    return servers


def _affected_services(table: Table, touched: TouchedRows) -> set[ServiceName]:
    affected = set()
    for key, row in touched.items():
        for version in (table.get(key), row):
            if version is None:
                continue
            match version.typed:
                case ServiceRow(name=name):
                    affected.add(name)
                case ServerRow(service=service):
                    affected.add(service)
    return affected


def _check_service(
    table: Table,
    touched: TouchedRows,
    name: ServiceName,
    servers: dict[ServerName, ServerRow],
) -> None:
    key = RowKey(Sheet.SERVICES, name)
    row = touched[key] if key in touched else table.get(key)
    if row is None:
        if servers:
            raise _rule_broken(
                f"servers {sorted(servers)} refer to a missing service: {name!r}"
            )
        return
    service = row.typed
    capacity_slots = sum(s.slots for s in servers.values() if s.accepts_requests)
    if service.routes and capacity_slots == 0:
        raise _rule_broken(
            f"service {name} has routes but no server that accepts requests"
        )
    if service.floor_slots > capacity_slots:
        raise _rule_broken(
            f"service {name}: floor_slots {service.floor_slots} exceeds the "
            f"{capacity_slots} slots of its servers that accept requests"
        )


def _rule_broken(detail: str) -> CinderwayError:
    return CinderwayError(ErrorCode.RULE_BROKEN, detail, step=Step.CHECK_EDIT)
