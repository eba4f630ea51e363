"""Replace the keys of teams by digests, so that no key is kept or logged.

Keys are random strings. A digest without a secret therefore reveals nothing,
and all entry hosts compute the same one without sharing anything.
"""

import hashlib

DIGEST_BYTES = 16
# A longer key is not known, so it is not worth its digest.
MAX_KEY_BYTES = 256


def digest(key: bytes) -> str:
    """Return the digest of a key in hexadecimal; empty for an unusable key.

    Bytes are compared, so that a key in another encoding than UTF-8 is not
    the key of a configuration.
    """
    if not key or len(key) > MAX_KEY_BYTES:
        return ""
    return hashlib.blake2b(key, digest_size=DIGEST_BYTES).hexdigest()
