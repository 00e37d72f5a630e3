"""Limits on engine memory, account rates, retries and requests in progress."""
