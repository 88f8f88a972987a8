"""The control replicas: they accept or refuse edits and hand out the table."""

from cinderway.control._catalog_daemon import run_catalog_control
from cinderway.control._daemon import found_control, run_control

__all__ = ["found_control", "run_catalog_control", "run_control"]
