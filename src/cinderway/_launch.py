"""Start a daemon by its settings, with or without the command line.

`python -m cinderway._launch ROLE` takes a role's settings from the environment and the
settings file alone. It spares what the command line needs (its libraries, all other
commands): an instance that is started anew serves so much sooner.
"""

import importlib
import os
import sys
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

import anyio

from cinderway._errors import CinderwayError, ErrorCode, Step
from cinderway._settings import (
    CatalogControlSettings,
    CatalogEntrySettings,
    EntrySettings,
    ReplicaSettings,
    environment_variable_of,
    parse_settings,
    settings_of,
    with_settings_file,
)

EXIT_FAILED = 1
EXIT_BAD_INPUT = 2
BAD_INPUT_CODES = {
    ErrorCode.SETTING_INVALID,
    ErrorCode.CSV_INVALID,
    ErrorCode.CELL_INVALID,
}


@dataclass(frozen=True)
class Role:
    """One kind of daemon: its settings, and the function that runs it."""

    settings: type
    package: str
    function: str

    async def run(self, settings: Any) -> None:
        """Run the daemon until it is told to stop."""
        package = importlib.import_module(self.package)
        await getattr(package, self.function)(settings)


ROLES = {
    "entry": Role(EntrySettings, "cinderway.entry", "run_entry"),
    "control": Role(ReplicaSettings, "cinderway.control", "run_control"),
    "ledger": Role(ReplicaSettings, "cinderway.ledger", "run_ledger"),
    "catalog-entry": Role(CatalogEntrySettings, "cinderway.entry", "run_catalog_entry"),
    "catalog-control": Role(
        CatalogControlSettings, "cinderway.control", "run_catalog_control"
    ),
}


def run_daemon(daemon: Callable[[Any], Awaitable[None]], settings: Any) -> None:
    """Run a daemon to its end; raises the first error that ended it."""
    try:
        anyio.run(daemon, settings, backend_options={"use_uvloop": True})
    except* CinderwayError as group:
        failure = group
    else:
        return
    raise _first_of(failure)


def exit_code_of(error: CinderwayError) -> int:
    """Return 2 for input that is wrong, 1 for everything else."""
    return EXIT_BAD_INPUT if error.code in BAD_INPUT_CODES else EXIT_FAILED


def _first_of(group: BaseExceptionGroup) -> BaseException:
    """Return the first error in nested groups, as task groups make them."""
    error = group.exceptions[0]
    return _first_of(error) if isinstance(error, BaseExceptionGroup) else error


def _role_of(name: str) -> Role:
    if name not in ROLES:
        raise CinderwayError(
            ErrorCode.SETTING_INVALID,
            f"role: given {name!r}; allowed: {', '.join(ROLES)}",
            step=Step.START,
        )
    return ROLES[name]


def _environment_of(role: Role) -> dict[str, str | None]:
    """Return what the environment says of each of a role's settings."""
    return {
        name: os.environ.get(environment_variable_of(name))
        for name in settings_of(role.settings)
    }


def _leave_out_trio() -> None:
    """Keep httpcore from importing trio where that happens to be installed.

    Nothing here runs on it. It took 0.13 of 0.65 s of processor time to import an
    entry, and 5 of 43 MB (means of three starts).
    """
    sys.modules.setdefault("trio", None)


def main(arguments: list[str]) -> int:
    """Run the role that the first argument names; return the exit code."""
    _leave_out_trio()
    try:
        role = _role_of(arguments[0] if arguments else "")
        given = with_settings_file(_environment_of(role))
        run_daemon(role.run, parse_settings(role.settings, given))
    except CinderwayError as error:
        print(f"cinderway: {error}", file=sys.stderr)
        return exit_code_of(error)
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
