"""Build typer options from settings classes, so that no setting is declared twice."""

import functools
import inspect
import sys
from collections.abc import Callable
from typing import Annotated, Any

import rich.markup
import typer

from cinderway._errors import CinderwayError
from cinderway._launch import get_exit_code
from cinderway._settings import (
    REQUIRED,
    add_settings_file,
    get_declarations,
    get_environment_variable,
    get_flag,
    parse_settings,
)


def with_settings(settings_class: type) -> Callable[[Callable], Callable]:
    """Turn `f(settings, …)` into a command with a flag for each of the settings.

    A CinderwayError ends the command with one line on standard error and an exit code:
    2 for invalid input, 1 for every other error.
    """

    def decorate(function: Callable) -> Callable:
        @functools.wraps(function)
        def command(**given: Any) -> None:
            texts = {name: given.pop(name) for name in get_declarations(settings_class)}
            with exit_on_error():
                function(
                    parse_settings(settings_class, add_settings_file(texts)), **given
                )

        own_parameters = list(inspect.signature(function).parameters.values())[1:]
        own_parameters = [
            p.replace(kind=inspect.Parameter.KEYWORD_ONLY) for p in own_parameters
        ]
        parameters = own_parameters + _build_parameters(settings_class)
        command.__signature__ = inspect.Signature(parameters)
        command.__annotations__ = {p.name: p.annotation for p in parameters}
        return command

    return decorate


class exit_on_error:
    """Context manager that prints a CinderwayError as one line and exits."""

    def __enter__(self) -> None:
        return None

    def __exit__(self, kind, error, traceback) -> None:
        if not isinstance(error, CinderwayError):
            return
        print(f"cinderway: {error}", file=sys.stderr)
        raise typer.Exit(get_exit_code(error))


def _build_parameters(settings_class: type) -> list[inspect.Parameter]:
    parameters = []
    for name, declared in get_declarations(settings_class).items():
        default = "required" if declared.default is REQUIRED else declared.default
        option = typer.Option(
            get_flag(name),
            envvar=get_environment_variable(name),
            help=rich.markup.escape(
                f"{declared.help} [{declared.allowed}; default: {default or 'none'}]"
            ),
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
