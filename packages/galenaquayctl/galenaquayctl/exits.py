"""Exit statuses of `galenaquayctl`, on which scripts may depend."""

import enum


class Exit(enum.IntEnum):
    """Exit status of a command."""

    OK = 0
    # The command ran, but its result is negative: for example, documents
    # differ or a benchmark missed a target.
    NEGATIVE = 1
    # The input or the options are invalid.
    INVALID = 2
    # The VM could not be reached or responded with an error.
    FAILED = 3
