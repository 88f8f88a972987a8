"""The command line: `cinderway`."""

from cinderway._cli._main import main

__all__ = ["main"]
