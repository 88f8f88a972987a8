"""Requests that end the backend servers which run them ("queries of death").

Such a request is told by a digest of what its repeats share, whoever sends them to
whichever entry.
"""

from cinderway.poison._digest import RequestDigests

__all__ = ["RequestDigests"]
