"""Marks the data folder of the process that is to create a group.

Only one process creates it, and only its settings at the first start say so. If it is
killed before it has begun, the mark tells a later start to go on. This module imports
little: the mark has to be there before the rest of the program has been imported.
"""

import logging
import os
from collections.abc import Sequence
from pathlib import Path
from typing import Protocol

from cinderway._ids import Address

logger = logging.getLogger(__name__)

MARK_FILE = "first-start"


class FirstStartSettings(Protocol):
    """The settings that tell which process creates the group."""

    is_first_start: bool
    http_listen: Address
    seeds: Sequence[Address]
    data_folder: Path


def creates_group(settings: FirstStartSettings) -> bool:
    """Whether this is the fleet's first start, on the first seed.

    All replicas have the same seeds then, so they agree on which of them it is.
    """
    return settings.is_first_start and settings.http_listen == settings.seeds[0]


def mark_first_start(settings: FirstStartSettings) -> None:
    """Make durable that this process is to create the group, if its folder is empty."""
    if not creates_group(settings):
        return
    folder = settings.data_folder
    try:
        folder.mkdir(parents=True, exist_ok=True)
        if any(folder.iterdir()):
            return
        _create_synced(folder / MARK_FILE)
        for path in (folder, folder.parent):
            _sync(path, os.O_RDONLY)
    except OSError as error:
        # The creation of the group itself follows, and reports a disk that fails.
        logger.warning("the first start cannot be marked in %s: %s", folder, error)


def _create_synced(path: Path) -> None:
    _sync(path, os.O_WRONLY | os.O_CREAT)


def _sync(path: Path, flags: int) -> None:
    descriptor = os.open(path, flags, 0o600)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
