"""Settings: one immutable, validated object per role, from flags and environment.

Each field is declared once; its flag, environment variable, help text and validation
are derived from that declaration. The settings of some roles can also come from a file.
"""

from cinderway._settings._catalog_roles import (
    CatalogControlSettings,
    CatalogEntrySettings,
)
from cinderway._settings._declaration import (
    ENVIRONMENT_PREFIX,
    REQUIRED,
    Setting,
    environment_variable_of,
    get_flag,
    parse_settings,
    setting,
    settings_of,
)
from cinderway._settings._file import (
    changed_settings,
    read_settings_file,
    with_settings_file,
)
from cinderway._settings._parsers import SHARED_KEY_MIN_CHARACTERS
from cinderway._settings._table_roles import (
    EntrySettings,
    OperatorSettings,
    ReplicaSettings,
)

__all__ = [
    "ENVIRONMENT_PREFIX",
    "REQUIRED",
    "SHARED_KEY_MIN_CHARACTERS",
    "CatalogControlSettings",
    "CatalogEntrySettings",
    "EntrySettings",
    "OperatorSettings",
    "ReplicaSettings",
    "Setting",
    "changed_settings",
    "environment_variable_of",
    "get_flag",
    "parse_settings",
    "read_settings_file",
    "setting",
    "settings_of",
    "with_settings_file",
]
