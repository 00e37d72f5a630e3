"""Limits on the requests and body bytes in progress at this process."""

from collections.abc import Iterator
import contextlib

from .. import codes
from .. import ids
from .. import settings as settings_module


class RequestsInProgress:
    """Counts the requests in progress and the bytes of their bodies."""

    # Number of requests in progress, by account.
    requests_by_account: dict[ids.AccountId, int]
    # Number of requests in progress.
    requests: int
    # Size of all request bodies kept in memory, in bytes.
    body_bytes: int

    def __init__(self, limits: settings_module.Limits) -> None:
        self._limits = limits
        self.requests_by_account = {}
        self.requests = 0
        self.body_bytes = 0

    def refusal(
        self, account_id: ids.AccountId, body_bytes: int
    ) -> codes.Failure | None:
        """Returns the reason to refuse a new request, or None to accept it."""
        limits = self._limits
        if self.requests >= limits.max_requests:
            return codes.failure(codes.Code.ENTRY_FULL, 'requests', 1.0)
        account_requests = self.requests_by_account.get(account_id, 0)
        if account_requests >= limits.max_requests_per_account:
            return codes.failure(
                codes.Code.ENTRY_FULL, 'requests of the account', 1.0
            )
        if self.body_bytes + body_bytes > limits.held_body_bytes:
            return codes.failure(codes.Code.ENTRY_FULL, 'bodies', 1.0)
        return None

    @contextlib.contextmanager
    def track(
        self, account_id: ids.AccountId, body_bytes: int
    ) -> Iterator[None]:
        """Counts a request as in progress for as long as the context lasts."""
        self.requests += 1
        self.body_bytes += body_bytes
        account_requests = self.requests_by_account.get(account_id, 0)
        self.requests_by_account[account_id] = account_requests + 1
        try:
            yield
        finally:
            self.requests -= 1
            self.body_bytes -= body_bytes
            self._decrement(account_id)

    def _decrement(self, account_id: ids.AccountId) -> None:
        remaining = self.requests_by_account[account_id] - 1
        if remaining:
            self.requests_by_account[account_id] = remaining
        else:
            del self.requests_by_account[account_id]
