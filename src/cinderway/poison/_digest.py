"""What tells whether two requests are the same. Pure."""

import hashlib

from cinderway._ids import RequestDigest

# Long enough that no two of any number of requests share one by chance.
DIGEST_BYTES = 16
# Source: blake2b takes no longer key.
KEY_BYTES = 64
# Source: lengths of up to 2**64 bytes; they keep parts from running into each other.
LENGTH_BYTES = 8


class RequestDigests:
    """Digests that are the same on all entries which hold the same key.

    Keyed, so that nobody outside can make two requests that share one, or learn from a
    log what a request held.
    """

    def __init__(self, key: bytes = b""):
        self._key = key[:KEY_BYTES]

    def of(
        self, method: bytes, host: bytes, target: bytes, caller: bytes, body: bytes
    ) -> RequestDigest:
        """Return a request's digest; `target` is its path and query as sent.

        Headers do not count but for the host: a repeat may carry others.
        """
        digest = hashlib.blake2b(key=self._key, digest_size=DIGEST_BYTES)
        for part in (method, host.lower(), target, caller, body):
            digest.update(len(part).to_bytes(LENGTH_BYTES))
            digest.update(part)
        return RequestDigest(digest.digest())
