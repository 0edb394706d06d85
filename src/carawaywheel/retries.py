"""Retry budgets: one for each request chain and one for each service."""


class ChainBudget:
    """Attempts that remain for a request and everything below it.

    Attributes:
        attempts: Attempts that may still be made.
    """

    def __init__(self, attempts: int) -> None:
        self.attempts = max(0, attempts)

    def reserve(self) -> int:
        """Take half of the remaining attempts, at least one, for a sub-call.

        Returns:
            The number taken; 0 if none remains.
        """
        taken = (self.attempts + 1) // 2
        self.attempts -= taken
        return taken

    def release(self, unused: int) -> None:
        """Return attempts that a sub-call did not spend."""
        self.attempts += max(0, unused)
