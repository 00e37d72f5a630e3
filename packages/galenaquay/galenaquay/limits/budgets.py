"""Retry budgets: limit retries to a fraction of an account's requests."""

from typing import Final

from .. import ids

# Retries that each first attempt adds to the budget.
RETRIES_PER_REQUEST: Final = 0.1
# Initial and largest budget of an account, in retries.
MAX_RETRIES: Final = 10.0


class RetryBudgets:
    """Counts the retries that each account may still make."""

    # Number of retries left, by account.
    left_by_account: dict[ids.AccountId, float]

    def __init__(self) -> None:
        self.left_by_account = {}

    def earn(self, account_id: ids.AccountId) -> None:
        """Credits the budget of an account with one first attempt."""
        left = self.left_by_account.get(account_id, MAX_RETRIES)
        self.left_by_account[account_id] = min(
            MAX_RETRIES, left + RETRIES_PER_REQUEST
        )

    def spend(self, account_id: ids.AccountId) -> bool:
        """Spends one retry; returns False if the budget is used up."""
        left = self.left_by_account.get(account_id, MAX_RETRIES)
        if left < 1:
            return False
        self.left_by_account[account_id] = left - 1
        return True
