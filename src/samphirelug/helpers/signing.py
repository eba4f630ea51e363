"""Sign and verify the tokens that entry hosts issue."""

import hashlib

import itsdangerous

from returns.result import Failure
from returns.result import Result
from returns.result import Success


class Signer:
    """Sign and verify values for one purpose with the cluster secret."""

    def __init__(self, *, secret: str, purpose: str) -> None:
        # The salt prevents the use of a token for another purpose.
        self.serializer = itsdangerous.URLSafeSerializer(
            secret,
            salt=f"samphirelug.{purpose}",
            signer_kwargs={
                "digest_method": hashlib.sha256,
                "key_derivation": "hmac",
            },
        )

    def sign(self, value: object) -> str:
        """Return a URL-safe token that contains a JSON value."""
        token = self.serializer.dumps(value)
        return token.decode() if isinstance(token, bytes) else token

    def verify(self, token: str) -> Result[object, str]:
        """Return the value of a token, or why it was rejected."""
        try:
            value: object = self.serializer.loads(token)
        except itsdangerous.BadData as error:
            return Failure(str(error))
        return Success(value)
