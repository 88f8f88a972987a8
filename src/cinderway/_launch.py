"""Start a daemon from its settings, with or without the command line.

`python -m cinderway._launch ROLE` reads the settings of a role only from the
environment and the settings file. It does not import the command-line libraries or the
other commands, so that an instance begins to serve sooner after a restart.
"""

import importlib
import os
import sys
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

import anyio

from cinderway._errors import CinderwayError, ErrorCode, Step
from cinderway._first_start import mark_first_start
from cinderway._settings import (
    CatalogControlSettings,
    CatalogEntrySettings,
    EntrySettings,
    ReplicaSettings,
    add_settings_file,
    get_declarations,
    get_environment_variable,
    parse_settings,
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
    """One kind of daemon: its settings, and the function that runs it.

    `prepare` is called first, before the package is imported.
    """

    settings: type
    package: str
    function: str
    prepare: Callable[[Any], None] = lambda settings: None

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
        CatalogControlSettings,
        "cinderway.control",
        "run_catalog_control",
        mark_first_start,
    ),
}


def run_daemon(daemon: Callable[[Any], Awaitable[None]], settings: Any) -> None:
    """Run a daemon until it ends; raises the first CinderwayError that ended it."""
    try:
        anyio.run(daemon, settings, backend_options={"use_uvloop": True})
    except* CinderwayError as group:
        failure = group
    else:
        return
    raise _find_first_error(failure)


def get_exit_code(error: CinderwayError) -> int:
    """Return 2 for invalid input and 1 for every other error."""
    return EXIT_BAD_INPUT if error.code in BAD_INPUT_CODES else EXIT_FAILED


def _find_first_error(group: BaseExceptionGroup) -> BaseException:
    """Return the first error in the nested exception groups that task groups raise."""
    error = group.exceptions[0]
    return _find_first_error(error) if isinstance(error, BaseExceptionGroup) else error


def _get_role(name: str) -> Role:
    if name not in ROLES:
        raise CinderwayError(
            ErrorCode.SETTING_INVALID,
            f"role: given {name!r}; allowed: {', '.join(ROLES)}",
            step=Step.START,
        )
    return ROLES[name]


def _read_environment(role: Role) -> dict[str, str | None]:
    """Return the environment's value, if any, for each of a role's settings."""
    return {
        name: os.environ.get(get_environment_variable(name))
        for name in get_declarations(role.settings)
    }


def _block_trio_import() -> None:
    """Prevent httpcore from importing trio where that is installed.

    No process runs on trio. Importing it took 0.13 s of the 0.65 s of processor time
    for importing an entry, and 5 MB of its 43 MB (means of three starts).
    """
    sys.modules.setdefault("trio", None)


def main(arguments: list[str]) -> int:
    """Run the role that the first argument names; return the exit code."""
    _block_trio_import()
    try:
        role = _get_role(arguments[0] if arguments else "")
        given = add_settings_file(_read_environment(role))
        settings = parse_settings(role.settings, given)
        role.prepare(settings)
        run_daemon(role.run, settings)
    except CinderwayError as error:
        print(f"cinderway: {error}", file=sys.stderr)
        return get_exit_code(error)
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
