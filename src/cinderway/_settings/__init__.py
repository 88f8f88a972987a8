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
    get_declarations,
    get_environment_variable,
    get_flag,
    parse_settings,
    setting,
)
from cinderway._settings._file import (
    add_settings_file,
    apply_settings_changes,
    read_settings_file,
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
    "add_settings_file",
    "apply_settings_changes",
    "get_declarations",
    "get_environment_variable",
    "get_flag",
    "parse_settings",
    "read_settings_file",
    "setting",
]
