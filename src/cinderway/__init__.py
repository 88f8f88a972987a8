"""A fleet of proxies for backend servers with gray failures.

A server with a gray failure is slow, or fails some requests, while its health checks
still pass.

The names below are the public interface. Everything in a module whose name
begins with an underscore may change without notice.
"""

from cinderway._errors import CinderwayError, ErrorCode, Step

__all__ = ["CinderwayError", "ErrorCode", "Step", "__version__"]

__version__ = "0.1.0"
