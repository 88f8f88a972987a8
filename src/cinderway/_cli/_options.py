"""Make typer commands from settings classes, so that nothing is declared twice."""

import functools
import inspect
import sys
from collections.abc import Callable
from typing import Annotated, Any

import typer

from cinderway._errors import CinderwayError
from cinderway._launch import exit_code_of
from cinderway._settings import (
    REQUIRED,
    environment_variable_of,
    flag_of,
    parse_settings,
    settings_of,
    with_settings_file,
)


def with_settings(kind: type) -> Callable[[Callable], Callable]:
    """Turn `f(settings, …)` into a command that takes the settings as flags too.

    A CinderwayError ends the command with one line and an exit code: 2 for input
    that is wrong, 1 for everything else.
    """

    def decorate(function: Callable) -> Callable:
        @functools.wraps(function)
        def command(**given: Any) -> None:
            texts = {name: given.pop(name) for name in settings_of(kind)}
            with exit_on_error():
                function(parse_settings(kind, with_settings_file(texts)), **given)

        own = list(inspect.signature(function).parameters.values())[1:]
        own = [p.replace(kind=inspect.Parameter.KEYWORD_ONLY) for p in own]
        parameters = own + _parameters_of(kind)
        command.__signature__ = inspect.Signature(parameters)
        command.__annotations__ = {p.name: p.annotation for p in parameters}
        return command

    return decorate


class exit_on_error:
    """Print a CinderwayError as one line and exit."""

    def __enter__(self) -> None:
        return None

    def __exit__(self, kind, error, traceback) -> None:
        if not isinstance(error, CinderwayError):
            return
        print(f"cinderway: {error}", file=sys.stderr)
        raise typer.Exit(exit_code_of(error))


def _parameters_of(kind: type) -> list[inspect.Parameter]:
    parameters = []
    for name, declared in settings_of(kind).items():
        shown = "required" if declared.default is REQUIRED else declared.default
        option = typer.Option(
            flag_of(name),
            envvar=environment_variable_of(name),
            help=f"{declared.help} [{declared.allowed}; default: {shown or 'none'}]",
            show_default=False,
        )
        parameters.append(
            inspect.Parameter(
                name,
                inspect.Parameter.KEYWORD_ONLY,
                default=None,
                annotation=Annotated[str | None, option],
            )
        )
    return parameters
