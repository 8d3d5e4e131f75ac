"""Why a customer's call on a job was not carried out, each with its remedy."""

from __future__ import annotations

from medlarspring_tables import MedlarspringError


class IntakeError(MedlarspringError):
    """A customer's call was not carried out, or its outcome is unknown."""


class NoSuchJob(IntakeError):
    """No job has this id."""

    code = "no-such-job"

    def message(self) -> str:
        """Say what to do."""
        return "No job has this id. Check the id, or submit the job."


class NotReady(IntakeError):
    """This entry VM can't serve the call now; it was certainly not carried out."""

    code = "not-ready"

    def __init__(self, detail: str, retry_after: int) -> None:
        super().__init__(detail, retry_after)
        self.detail = detail
        self.retry_after = retry_after
        """Whole seconds after which to try again."""

    def message(self) -> str:
        """Say why and what to do."""
        return (
            f"The call was not carried out: {self.detail}."
            f" Repeat it in {self.retry_after} s, or at another entry VM."
        )


class OutcomeUnknown(IntakeError):
    """The store's answer was lost; the call may have been carried out."""

    code = "outcome-unknown"

    def message(self) -> str:
        """Say what to do."""
        return (
            "The store's answer was lost, so the call may have been carried out."
            " Repeat it with the same id: it takes effect once."
        )


__all__ = ["IntakeError", "NoSuchJob", "NotReady", "OutcomeUnknown"]
