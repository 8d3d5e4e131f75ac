"""Who a call on jobs comes from, and which jobs it may see and cancel."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from medlarspring_systems.credentials import read_bearer_digest
from medlarspring_tables.scheduling import JobOwner

if TYPE_CHECKING:
    from medlarspring_systems.credentials import CredentialIndex
    from medlarspring_systems.scheduling.routes import RouteMatch
    from medlarspring_tables.scheduling import OperatorConfig, PartnerPolicy

FINGERPRINT_DIGITS = 16
"""Hex digits of a credential's digest that tell the credentials in force apart."""


@dataclass(frozen=True, slots=True)
class Caller:
    """Who a call acts for, as its credential and route tell."""

    policy: PartnerPolicy | None = None
    """None for a call without a credential, where none is required."""
    fingerprint: str = ""
    sees_all_jobs: bool = True
    """Whether it is admitted without a credential, and so to every job."""

    @property
    def owner(self) -> JobOwner:
        """The owner of the jobs that the caller submits."""
        if self.policy is None:
            return JobOwner()
        return JobOwner(self.policy.id, self.fingerprint)

    def may_access(self, owner: JobOwner) -> bool:
        """Return whether the caller may see and cancel a job.

        A credential that was moved to another partner still gives access to the jobs
        that were submitted with it. A job without a partner belongs to nobody: it was
        submitted without a credential or accepted by a former version.
        """
        if self.sees_all_jobs or not owner.partner_id:
            return True
        assert self.policy is not None
        is_same_partner = owner.partner_id == self.policy.id
        return is_same_partner or owner.fingerprint == self.fingerprint


def identify_caller(
    config: OperatorConfig,
    credentials: CredentialIndex,
    match: RouteMatch,
    authorization: str,
) -> Caller | None:
    """Return who a call with this ``Authorization`` header comes from.

    None if the route requires a credential and the header has none that is in force.
    On a public route, a valid credential tells the partner, and any other is ignored.
    """
    is_open = match.public or not config.requires_credentials
    digest = read_bearer_digest(authorization)
    partner_id = None
    if digest is not None:
        partner_id = credentials.partners_by_digest.get(digest)
    if digest is None or partner_id is None:
        return Caller() if is_open else None
    return Caller(
        policy=config.partners_by_id[partner_id],
        fingerprint=digest[:FINGERPRINT_DIGITS],
        sees_all_jobs=is_open,
    )


__all__ = ["Caller", "identify_caller"]
