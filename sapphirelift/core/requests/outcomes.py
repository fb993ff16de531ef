"""Outcomes of a request: answered, not run, or unknown.

``NotRun`` is reported only if the request certainly was not run.
"""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Answered:
    """The backend server answered, and the answer is complete."""

    status: int
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class NotRun:
    """The request was certainly not run.

    Attributes:
        reason: Short label, for example ``overloaded`` or ``draining``.
    """

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Unknown:
    """The request may or may not have run, but at most once.

    Attributes:
        reason: Short label, for example ``deadline`` or ``connection_cut``.
    """

    reason: str


Outcome = Answered | NotRun | Unknown
