"""The log line with which each request ends: written by entries, read by reports."""

import re
from dataclasses import dataclass
from urllib.parse import quote, unquote

NONE = "none"
# Signs of an account's name that stand in the line as they are.
NAME_SIGNS = "-_.~@:+"
PATTERN = re.compile(
    r"(?:^|[ :\"])request (?P<name>\S+): (?P<outcome>\S+) in (?P<duration_ms>\d+) ms; "
    r"route (?P<route>\S+), service (?P<service>\S+), servers (?P<servers>\S+), "
    r"catalog (?P<revision>\d+) known (?P<age_ms>-?\d+) ms ago"
    r"(?:, account (?P<account>[^\s;]+))?"
    r"(?:; \[(?P<code>[^\]]+)\].*?\(step (?P<step>[^,)]+))?"
)


@dataclass(frozen=True)
class RequestLine:
    """What became of one request, and what the entry knew when it ended.

    `age_ms` is how old the entry's catalog may have been. `code` and `step` are empty
    where the answer was a backend server's own.
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
    account: str = NONE

    def __str__(self) -> str:
        """Return the line's text, without the error."""
        return (
            f"request {self.name}: {self.outcome} in {self.duration_ms} ms; "
            f"route {self.route}, service {self.service}, "
            f"servers {','.join(self.servers) or NONE}, "
            f"catalog {self.revision} known {self.age_ms} ms ago, "
            f"account {quote(self.account, safe=NAME_SIGNS)}"
        )


def parse_request_line(text: str) -> RequestLine | None:
    """Return what a log line says of a request's end; None if it is another line."""
    found = PATTERN.search(text)
    if found is None:
        return None
    servers = found["servers"]
    return RequestLine(
        name=found["name"],
        outcome=found["outcome"],
        duration_ms=int(found["duration_ms"]),
        route=found["route"],
        service=found["service"],
        servers=() if servers == NONE else tuple(servers.split(",")),
        revision=int(found["revision"]),
        age_ms=int(found["age_ms"]),
        code=found["code"] or "",
        step=found["step"] or "",
        account=unquote(found["account"] or NONE),
    )
