"""The control replicas, of the table and of the catalog.

Those of the table accept or refuse edits and hand the table out. Those of the catalog
take route sheets and heartbeats, hand the catalog out and judge backend servers.
"""

from cinderway.control._catalog_daemon import run_catalog_control
from cinderway.control._daemon import found_control, run_control

__all__ = ["found_control", "run_catalog_control", "run_control"]
