"""Take over changes of the settings file while the process runs.

The file is read again at SIGHUP and every few seconds. The process is handed the new
settings as a whole and decides which of them it can change without a restart.
"""

import logging
import signal
from collections.abc import Callable
from pathlib import Path
from typing import Any

import anyio

from cinderway._errors import CinderwayError
from cinderway._settings import changed_settings, read_settings_file

logger = logging.getLogger(__name__)

# A changed file is noticed within this time without a signal.
POLL_S = 2.0


class SettingsWatch:
    """Watches one settings file, if the process has one.

    A file that cannot be read or is not valid changes nothing, and one line says so.
    """

    def __init__(self, settings: Any, on_change: Callable[[Any], None]):
        self._settings = settings
        self._on_change = on_change
        path = settings.settings_file
        self._path = Path(path) if path else None
        self._texts = read_settings_file(self._path) if self._path else {}
        self._told = ""

    async def run(self) -> None:
        """Look at SIGHUP and from time to time; SIGHUP ends no process."""
        with anyio.open_signal_receiver(signal.SIGHUP) as signals:
            while True:
                with anyio.move_on_after(POLL_S if self._path else None):
                    await anext(signals)
                    logger.info("SIGHUP: reading the settings again")
                self.look()

    def look(self) -> None:
        """Take over what the file says now."""
        if self._path is None:
            return
        try:
            texts = read_settings_file(self._path)
            if texts == self._texts:
                return
            settings = changed_settings(self._settings, texts)
        except CinderwayError as error:
            if self._told != str(error):
                logger.warning("the old settings stay: %s", error)
                self._told = str(error)
            return
        self._texts, self._settings, self._told = texts, settings, ""
        logger.info("took over the changed settings")
        self._on_change(settings)
