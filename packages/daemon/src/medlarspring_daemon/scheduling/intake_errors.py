"""Errors of customers' calls on jobs; each message says what to do next."""

from __future__ import annotations

from typing import TYPE_CHECKING

from medlarspring_tables import MedlarspringError

if TYPE_CHECKING:
    from medlarspring_systems.scheduling.load_admission import LoadRefusal


class IntakeError(MedlarspringError):
    """Base of errors of a customer's call that failed or has an unknown outcome."""


class NoSuchJob(IntakeError):
    """The job id is unknown."""

    code = "no-such-job"

    def message(self) -> str:
        """Return the fault and what to do next."""
        return "No job has this id. Check the id, or submit the job."


class NoSuchQueue(IntakeError):
    """No route has the host and path of the call."""

    code = "no-such-queue"

    def message(self) -> str:
        """Return the fault and what to do next."""
        return "No queue has this host and path. Check the configuration's routes."


class CredentialUnknown(IntakeError):
    """The call has no credential that is in force."""

    code = "credential-unknown"

    def message(self) -> str:
        """Return the fault and what to do next; never the credential."""
        return (
            "The call was not carried out: it has no credential that is in force. Send"
            " one of your partner's keys as 'Authorization: Bearer KEY', or ask the"
            " operator for a new one."
        )


class JobOfOtherPartner(IntakeError):
    """The job belongs to another partner than the caller's."""

    code = "job-of-other-partner"

    def message(self) -> str:
        """Return the fault and what to do next."""
        return (
            "The call was not carried out: the job with this id belongs to another"
            " partner. Use a key of the partner that submitted it, or another id."
        )


class NotReady(IntakeError):
    """This entry VM can't serve the call now, and did not carry it out."""

    code = "not-ready"

    def __init__(self, detail: str, retry_after: int) -> None:
        super().__init__(detail, retry_after)
        self.detail = detail
        self.retry_after = retry_after
        """Whole seconds to wait before the next attempt."""

    def message(self) -> str:
        """Return the reason and what to do next."""
        return (
            f"The call was not carried out: {self.detail}."
            f" Repeat it in {self.retry_after} s, or at another entry VM."
        )


class ControllerLate(IntakeError):
    """The controller acts too late to start the job within its objective."""

    code = "controller-late"

    def __init__(self, retry_after: int) -> None:
        super().__init__(retry_after)
        self.retry_after = retry_after
        """Whole seconds to wait before the next attempt."""

    def message(self) -> str:
        """Return the reason and what to do next."""
        return (
            "The job was not accepted and has not run: the controller has more to do"
            f" than it can do in time. Send the job again in {self.retry_after} s."
        )


class CountUnknown(IntakeError):
    """No count of waiting jobs is known that is recent enough to be told."""

    code = "count-unknown"

    def __init__(self, retry_after: int) -> None:
        super().__init__(retry_after)
        self.retry_after = retry_after
        """Whole seconds to wait before the next attempt."""

    def message(self) -> str:
        """Return the reason and what to do next."""
        return (
            "The number of waiting jobs isn't known at present: the controller that"
            f" counts them has not reported in time. Repeat the call in"
            f" {self.retry_after} s; the status of single jobs is still answered."
        )


class ShareExceeded(IntakeError):
    """The partner's open work leaves no room for the job while it is of use.

    It speaks of this attempt: nothing was written, and no job had this id.
    """

    code = "share-exceeded"

    def __init__(self, refusal: LoadRefusal) -> None:
        super().__init__(refusal)
        self.refusal = refusal
        """The figures that the decision is based on."""
        self.retry_after = refusal.retry_after
        """Whole seconds to wait before the next attempt."""

    def message(self) -> str:
        """Return the reason and what to do next."""
        return (
            "The job was not accepted: your partner's open jobs fill its share for"
            f" about {self.refusal.expected_wait:.1f} s, too long for this job to be in"
            f" time. Repeat it with the same id in {self.retry_after} s, submit fewer"
            " jobs at a time, or ask the operator for a larger weight or quota."
        )


class OutcomeUnknown(IntakeError):
    """The store's answer was lost; the call may have been carried out."""

    code = "outcome-unknown"

    def message(self) -> str:
        """Return the fault and what to do next."""
        return (
            "The store's answer was lost, so the call may have been carried out."
            " Repeat it with the same id: it takes effect once."
        )


__all__ = [
    "ControllerLate",
    "CountUnknown",
    "CredentialUnknown",
    "IntakeError",
    "JobOfOtherPartner",
    "NoSuchJob",
    "NoSuchQueue",
    "NotReady",
    "OutcomeUnknown",
    "ShareExceeded",
]
