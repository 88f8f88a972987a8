"""Reload the settings file while the process runs.

The file is read again on SIGHUP and every few seconds. The process gets the complete
new settings and decides which of them it can change without a restart.
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

# Without a signal, a change to the file is detected within this time.
POLL_INTERVAL_S = 2.0


class SettingsWatch:
    """Watches the settings file of a process, if it has one.

    If the file cannot be read or is invalid, the current settings stay in force. Each
    error is logged once, not at every poll.
    """

    def __init__(self, settings: Any, on_change: Callable[[Any], None]):
        self._settings = settings
        self._on_change = on_change
        path = settings.settings_file
        self._path = Path(path) if path else None
        self._texts = read_settings_file(self._path) if self._path else {}
        self._last_reported_error = ""

    async def run(self) -> None:
        """Check the file on SIGHUP and at every poll interval, until cancelled.

        Without a settings file there is no polling, but SIGHUP is still handled, as its
        default action would end the process.
        """
        with anyio.open_signal_receiver(signal.SIGHUP) as signals:
            while True:
                with anyio.move_on_after(POLL_INTERVAL_S if self._path else None):
                    await anext(signals)
                    logger.info("SIGHUP: reading the settings again")
                self.reload_if_changed()

    def reload_if_changed(self) -> None:
        """Apply the file's current contents if they have changed."""
        if self._path is None:
            return
        try:
            texts = read_settings_file(self._path)
            if texts == self._texts:
                return
            settings = changed_settings(self._settings, texts)
        except CinderwayError as error:
            if self._last_reported_error != str(error):
                logger.warning("keeping the current settings: %s", error)
                self._last_reported_error = str(error)
            return
        self._texts, self._settings, self._last_reported_error = texts, settings, ""
        logger.info("applying the changed settings")
        self._on_change(settings)
