"""Completions that the engine stand-in generates, as functions of the prompt.

Tests and demos compute the expected completion with this module and compare it
with the tokens that a caller received.
"""

from typing import Final

import xxhash

# Length of each token of the stand-in's tokeniser, in bytes.
TOKEN_BYTES: Final = 4


def count_tokens(text: bytes) -> int:
    """Returns the number of tokens in a text."""
    return max(1, -(-len(text) // TOKEN_BYTES))


def digest(prompt: bytes) -> int:
    """Returns the hash of a prompt that determines every generated token."""
    return xxhash.xxh64_intdigest(prompt)


def token(prompt_digest: int, offset: int) -> str:
    """Returns the generated token at an offset of the completion."""
    mixed = (prompt_digest + offset * 0x9E3779B97F4A7C15) & (2**64 - 1)
    mixed ^= mixed >> 31
    mixed = (mixed * 0xBF58476D1CE4E5B9) & (2**64 - 1)
    return f'{(mixed >> 40) % 1000:03d} '


def answer(prompt: bytes, tokens: int) -> str:
    """Returns the completion of a prompt with the given number of tokens."""
    prompt_digest = digest(prompt)
    return ''.join(token(prompt_digest, i) for i in range(tokens))
