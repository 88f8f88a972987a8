"""The entry process: it takes callers' requests and brings them to backend servers."""

from cinderway.entry._catalog_daemon import run_catalog_entry
from cinderway.entry._daemon import run_entry

__all__ = ["run_catalog_entry", "run_entry"]
