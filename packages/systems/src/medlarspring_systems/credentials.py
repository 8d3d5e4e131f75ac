"""Bearer credentials: digests, and the partner that each credential belongs to."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from medlarspring_tables import PartnerId

BEARER_SCHEME = "bearer"


@dataclass(frozen=True, slots=True)
class CredentialIndex:
    """Partners by the hex SHA-256 of their credentials.

    Credentials are looked up by digest, so that the time of a look-up tells nothing
    about how much of a guessed credential is right.
    """

    partners_by_digest: dict[str, PartnerId] = field(default_factory=dict)
    conflicts: tuple[tuple[PartnerId, PartnerId], ...] = ()
    """Pairs of partners with the same credential; it belongs to the first of them."""

    def find_partner(self, authorization: str) -> PartnerId | None:
        """Return the partner that an ``Authorization`` header belongs to, or None."""
        digest = read_bearer_digest(authorization)
        return None if digest is None else self.partners_by_digest.get(digest)


def index_credentials(
    digests: Iterable[tuple[PartnerId, str]],
) -> CredentialIndex:
    """Return the index of pairs of a partner and a credential's digest.

    A credential that is listed for several partners belongs to the first.
    """
    partners_by_digest: dict[str, PartnerId] = {}
    conflicts: list[tuple[PartnerId, PartnerId]] = []
    for partner_id, digest in digests:
        holder = partners_by_digest.setdefault(digest, partner_id)
        if holder != partner_id:
            conflicts.append((holder, partner_id))
    return CredentialIndex(partners_by_digest, tuple(conflicts))


def digest_credential(credential: str) -> str:
    """Return the hex SHA-256 under which a credential is kept."""
    return hashlib.sha256(credential.encode("utf-8", "surrogateescape")).hexdigest()


def read_bearer_digest(authorization: str) -> str | None:
    """Return the digest of the credential in a header; None if there is none."""
    scheme, _, credential = authorization.strip().partition(" ")
    credential = credential.strip()
    if scheme.lower() != BEARER_SCHEME or not credential:
        return None
    return digest_credential(credential)


__all__ = [
    "CredentialIndex",
    "digest_credential",
    "index_credentials",
    "read_bearer_digest",
]
