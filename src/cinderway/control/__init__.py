"""The control replicas, of the service table and of the service catalog.

Replicas of the table accept or refuse edits and serve the table. Replicas of the
catalog receive route sheets and heartbeats, serve the catalog, and judge backend
servers.
"""

from cinderway.control._catalog_daemon import run_catalog_control
from cinderway.control._daemon import found_control, run_control

__all__ = ["found_control", "run_catalog_control", "run_control"]
