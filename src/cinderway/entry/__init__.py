"""The entry process: a proxy that forwards callers' requests to backend servers.

Each function imports its daemon when it is called: importing the modules that only the
other kind of entry needs would slow the start and use more memory.
"""

from cinderway._settings import CatalogEntrySettings, EntrySettings

__all__ = ["run_catalog_entry", "run_entry"]


async def run_catalog_entry(settings: CatalogEntrySettings) -> None:
    """Run an entry that routes by the service catalog, until it is asked to stop."""
    from cinderway.entry._catalog_daemon import run_catalog_entry as run

    await run(settings)


async def run_entry(settings: EntrySettings) -> None:
    """Run an entry that routes by the service table, until it is asked to stop."""
    from cinderway.entry._daemon import run_entry as run

    await run(settings)
