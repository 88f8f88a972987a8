"""The log line that ends each request: entries write it, reports parse it."""

import re
from dataclasses import dataclass
from urllib.parse import quote, unquote

NO_VALUE = "none"
# Punctuation in an account's name that is not percent-encoded in the line.
UNQUOTED_NAME_CHARACTERS = "-_.~@:+"
REQUEST_LINE_PATTERN = re.compile(
    r"(?:^|[ :\"])request (?P<name>\S+): (?P<outcome>\S+) in (?P<duration_ms>\d+) ms; "
    r"route (?P<route>\S+), service (?P<service>\S+), servers (?P<servers>\S+), "
    r"catalog (?P<revision>\d+) known (?P<age_ms>-?\d+) ms ago"
    r"(?:, account (?P<account>[^\s;,]+))?"
    r"(?:, connections (?P<connections>[^\s;]+))?"
    r"(?:; \[(?P<code>[^\]]+)\].*?\(step (?P<step>[^,)]+))?"
)


@dataclass(frozen=True)
class RequestLine:
    """One request's outcome, and the state of the entry's catalog when it ended.

    `revision` is the catalog's, and `age_ms` the time since the entry last knew it to
    be current. `connections` has the kind of connection of each attempt. `code` and
    `step` are those of the error, and empty if the answer came from a backend server.
    """

    name: str
    outcome: str
    duration_ms: int
    route: str
    service: str
    servers: tuple[str, ...]
    revision: int
    age_ms: int
    code: str = ""
    step: str = ""
    account: str = NO_VALUE
    connections: tuple[str, ...] = ()

    def __str__(self) -> str:
        """Format the log line, without the error."""
        return (
            f"request {self.name}: {self.outcome} in {self.duration_ms} ms; "
            f"route {self.route}, service {self.service}, "
            f"servers {','.join(self.servers) or NO_VALUE}, "
            f"catalog {self.revision} known {self.age_ms} ms ago, "
            f"account {quote(self.account, safe=UNQUOTED_NAME_CHARACTERS)}, "
            f"connections {','.join(self.connections) or NO_VALUE}"
        )


def parse_request_line(text: str) -> RequestLine | None:
    """Parse a log line; None if it is not the closing line of a request."""
    found = REQUEST_LINE_PATTERN.search(text)
    if found is None:
        return None
    return RequestLine(
        name=found["name"],
        outcome=found["outcome"],
        duration_ms=int(found["duration_ms"]),
        route=found["route"],
        service=found["service"],
        servers=_parse_names(found["servers"]),
        revision=int(found["revision"]),
        age_ms=int(found["age_ms"]),
        code=found["code"] or "",
        step=found["step"] or "",
        account=unquote(found["account"] or NO_VALUE),
        connections=_parse_names(found["connections"]),
    )


def _parse_names(text: str | None) -> tuple[str, ...]:
    return () if text in (None, NO_VALUE) else tuple(text.split(","))
