"""Retry budget that limits retries to a share of new requests."""

RETRY_RATIO = 0.1
BURST_RETRIES = 10.0


class RetryBudget:
    """Token bucket filled by new requests and drained by retries.

    >>> budget = RetryBudget(ratio=0.5, burst=1.0)
    >>> budget.withdraw(), budget.withdraw()
    (True, False)
    >>> budget.deposit(); budget.deposit(); budget.withdraw()
    True
    """

    def __init__(
        self, *, ratio: float = RETRY_RATIO, burst: float = BURST_RETRIES
    ) -> None:
        self._ratio = ratio
        self._burst = burst
        self._balance = burst

    def deposit(self) -> None:
        """Adds the credit of a new request."""
        self._balance = min(self._burst, self._balance + self._ratio)

    def withdraw(self) -> bool:
        """Takes the credit for one retry; returns False if there is none."""
        if self._balance < 1.0:
            return False
        self._balance -= 1.0
        return True
