"""The entry process: it takes callers' requests and brings them to backend servers.

Each function imports its own daemon when it runs: what only the other kind of entry
needs would make this one start later and larger.
"""

from cinderway._settings import CatalogEntrySettings, EntrySettings

__all__ = ["run_catalog_entry", "run_entry"]


async def run_catalog_entry(settings: CatalogEntrySettings) -> None:
    """Run an entry that serves by the service catalog, until it is told to stop."""
    from cinderway.entry._catalog_daemon import run_catalog_entry as run

    await run(settings)


async def run_entry(settings: EntrySettings) -> None:
    """Run an entry that serves by the table, until it is told to stop."""
    from cinderway.entry._daemon import run_entry as run

    await run(settings)
