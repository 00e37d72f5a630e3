"""Classifies prompts by length and estimates their length in tokens."""

import enum
from typing import Final

# Largest length of a short prompt, in tokens.
SHORT_TOKENS: Final = 8_000
# Largest length of a medium prompt, in tokens.
MEDIUM_TOKENS: Final = 100_000
# Assumed average number of bytes of a token. The actual number of tokens is
# not known before an engine has processed the prompt.
BYTES_PER_TOKEN: Final = 4.0


class Band(enum.IntEnum):
    """The length class of a prompt.

    The value is also the priority at an engine; lower values run first.
    """

    SHORT = 0
    MEDIUM = 1
    LONG = 2


def band_of(prompt_tokens: int) -> Band:
    """Returns the length class of a prompt."""
    if prompt_tokens <= SHORT_TOKENS:
        return Band.SHORT
    if prompt_tokens <= MEDIUM_TOKENS:
        return Band.MEDIUM
    return Band.LONG


def estimate_tokens(prompt_bytes: int) -> int:
    """Estimates the number of tokens of a prompt from its length in bytes."""
    return max(1, -(-prompt_bytes // int(BYTES_PER_TOKEN)))
