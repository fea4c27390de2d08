"""Error kinds, with the HTTP status and execution state that each implies.

Every refusal or failure that leaves a process is a `Failure` of one `Kind`;
the list of kinds is closed.  `ANSWERS` maps each kind to its HTTP status and
to what is known about the execution of the request.
"""

import dataclasses
import enum

__all__ = ["ANSWERS", "Answer", "Failure", "Kind", "Run", "body_of"]


class Run(enum.StrEnum):
    """What is known about the execution of a request."""

    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    RAN = "ran"


class Kind(enum.StrEnum):
    """Kind of an error; the values are part of the public API."""

    MALFORMED = "malformed"
    UNAUTHORIZED = "unauthorized"
    UNKNOWN_SERVICE = "unknown_service"
    UNKNOWN_JOB = "unknown_job"
    UNKNOWN_PATH = "unknown_path"
    TOO_LARGE = "too_large"
    CONFLICT = "conflict"
    BARRED = "barred"
    IN_PROGRESS = "in_progress"
    NEVER_FITS = "never_fits"
    INVALID_SETTING = "invalid_setting"
    OVERLOADED = "overloaded"
    DEADLINE = "deadline"
    UNAVAILABLE = "unavailable"
    ANSWER_LOST = "answer_lost"
    UNKNOWN_OUTCOME = "unknown_outcome"
    INTERNAL = "internal"
    PROTOCOL = "protocol"


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """HTTP status and execution state of one error kind."""

    status: int
    run: Run


ANSWERS = {
    Kind.MALFORMED: Answer(400, Run.NOT_RUN),
    Kind.UNAUTHORIZED: Answer(401, Run.NOT_RUN),
    Kind.UNKNOWN_SERVICE: Answer(404, Run.NOT_RUN),
    Kind.UNKNOWN_JOB: Answer(404, Run.NOT_RUN),
    Kind.UNKNOWN_PATH: Answer(404, Run.NOT_RUN),
    Kind.TOO_LARGE: Answer(413, Run.NOT_RUN),
    Kind.CONFLICT: Answer(409, Run.NOT_RUN),
    Kind.BARRED: Answer(409, Run.NOT_RUN),
    Kind.IN_PROGRESS: Answer(409, Run.UNKNOWN),
    Kind.NEVER_FITS: Answer(422, Run.NOT_RUN),
    Kind.INVALID_SETTING: Answer(422, Run.NOT_RUN),
    Kind.OVERLOADED: Answer(429, Run.NOT_RUN),
    Kind.DEADLINE: Answer(503, Run.NOT_RUN),
    Kind.UNAVAILABLE: Answer(503, Run.NOT_RUN),
    Kind.ANSWER_LOST: Answer(502, Run.RAN),
    Kind.UNKNOWN_OUTCOME: Answer(504, Run.UNKNOWN),
    Kind.INTERNAL: Answer(500, Run.UNKNOWN),
    Kind.PROTOCOL: Answer(400, Run.NOT_RUN),
}


@dataclasses.dataclass(frozen=True, slots=True)
class Failure:
    """A refusal or failure with its kind.

    Parameters
    ----------
    kind : Kind
        Selects the HTTP status and execution state in `ANSWERS`.
    message : str
        Human-readable description, one sentence.
    retry_after_s : float, optional
        Seconds after which a new attempt may succeed.
    """

    kind: Kind
    message: str
    retry_after_s: float | None = None

    @property
    def status(self):
        """HTTP status code of the kind."""
        return ANSWERS[self.kind].status

    @property
    def run(self):
        """What is known about the execution of the request."""
        return ANSWERS[self.kind].run


def body_of(failure, request_id=None):
    """Return the error body of a failure, ready to be encoded as JSON.

    Parameters
    ----------
    failure : Failure
        The failure to report.
    request_id : str, optional
        Id of the request or job concerned.

    Returns
    -------
    dict
        ``{"error": {...}}`` with the fields of the public error body.
    """
    return {
        "error": {
            "kind": failure.kind.value,
            "run": failure.run.value,
            "message": failure.message,
            "request_id": request_id,
            "retry_after_s": failure.retry_after_s,
        }
    }
