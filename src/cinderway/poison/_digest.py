"""Digests that identify repeats of the same request."""

import hashlib

from cinderway._ids import RequestDigest

# Long enough to make collisions practically impossible for any number of requests.
DIGEST_BYTES = 16
# The longest key that blake2b accepts.
KEY_BYTES = 64
# Allows lengths below 2**64 bytes. The length prefix keeps the boundaries between parts
# unambiguous.
LENGTH_BYTES = 8


class RequestDigests:
    """Computes keyed digests, which are equal on all entries with the same key.

    Without the key, nobody can construct two requests with the same digest, or infer
    the content of a request from a digest in a log.
    """

    def __init__(self, key: bytes = b""):
        self._key = key[:KEY_BYTES]

    def of(
        self, method: bytes, host: bytes, target: bytes, caller: bytes, body: bytes
    ) -> RequestDigest:
        """Return a request's digest; `target` is its path and query as sent.

        Headers other than the host are left out, as they may differ in a repeat.
        """
        digest = hashlib.blake2b(key=self._key, digest_size=DIGEST_BYTES)
        for part in (method, host.lower(), target, caller, body):
            digest.update(len(part).to_bytes(LENGTH_BYTES))
            digest.update(part)
        return RequestDigest(digest.digest())
