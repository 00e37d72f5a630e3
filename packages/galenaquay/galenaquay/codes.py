"""Result codes and their messages to callers and operators.

The table in docs/RESULT-CODES.md is generated from this module, and a test
compares the two. This module only defines the results; the modules that
detect a failure return it.
"""

import dataclasses
import enum
from typing import Final


class Certainty(enum.Enum):
    """Whether the back end executed the request, as far as known."""

    RUN = 'RUN'
    NOT_RUN = 'NOT_RUN'
    FAILED = 'FAILED'
    OUTCOME_UNKNOWN = 'OUTCOME_UNKNOWN'


class Retry(enum.Enum):
    """Whether and how a caller should retry a failed request."""

    NO = 'no'
    LATER = 'later'
    IF_IDEMPOTENT = 'if idempotent'
    SAME_TICKET = 'same ticket'


class Code(enum.IntEnum):
    """Result codes; the hundreds digit gives the certainty.

    The digit 0 stands for RUN, 1 for NOT_RUN, 2 for FAILED and 3 for
    OUTCOME_UNKNOWN.
    """

    OK = 0

    MALFORMED_REQUEST = 100
    BODY_TOO_LARGE = 101
    REQUEST_TOO_SLOW = 102
    UNKNOWN_ACCOUNT = 103
    UNKNOWN_ROUTE = 104
    TICKET_REQUIRED = 105
    TICKET_MALFORMED = 106
    NO_ENDPOINT = 107
    PROMPT_TOO_LONG = 108
    NO_ROOM = 109
    TOO_LATE = 110
    ACCOUNT_OVER_LIMIT = 111
    ENTRY_FULL = 112
    ENTRY_LEAVING = 113
    NOT_READY = 114
    OWNER_UNREACHABLE = 115
    GRANT_EXPIRED = 116
    CONNECT_FAILED = 117
    TICKET_VOID = 118
    BACK_END_REFUSED = 119
    DEADLINE_BEFORE_RUN = 120
    ENDPOINT_WITHDRAWN = 121

    DEADLINE_EXCEEDED = 200
    ENGINE_BROKE = 201
    WRONG_ANSWER = 202
    CALLER_LEFT = 203
    RETRIES_SPENT = 204
    SHUTDOWN_CUT = 205

    CALL_BROKE = 300
    CALL_TIMED_OUT = 301
    HOME_GONE = 302
    RECORD_FORGOTTEN = 303
    CALL_IN_PROGRESS = 304


@dataclasses.dataclass(frozen=True)
class Row:
    """One row of the table of result codes."""

    code: Code
    certainty: Certainty
    retry: Retry
    http_status: int
    message: str


def _row(
    code: Code,
    certainty: Certainty,
    retry: Retry,
    http_status: int,
    message: str,
) -> tuple[Code, Row]:
    return code, Row(code, certainty, retry, http_status, message)


_NOT_RUN: Final = Certainty.NOT_RUN
_FAILED: Final = Certainty.FAILED
_UNKNOWN: Final = Certainty.OUTCOME_UNKNOWN

ROWS_BY_CODE: Final[dict[Code, Row]] = dict(
    [
        _row(Code.OK, Certainty.RUN, Retry.NO, 200, 'The request was run.'),
        _row(
            Code.MALFORMED_REQUEST,
            _NOT_RUN,
            Retry.NO,
            400,
            'The request is not in the documented form.',
        ),
        _row(
            Code.BODY_TOO_LARGE,
            _NOT_RUN,
            Retry.NO,
            413,
            'The body is larger than this entry accepts.',
        ),
        _row(
            Code.REQUEST_TOO_SLOW,
            _NOT_RUN,
            Retry.LATER,
            408,
            'The body did not arrive in time.',
        ),
        _row(
            Code.UNKNOWN_ACCOUNT,
            _NOT_RUN,
            Retry.NO,
            401,
            'The credential belongs to no client account.',
        ),
        _row(
            Code.UNKNOWN_ROUTE,
            _NOT_RUN,
            Retry.NO,
            404,
            'No route of this name is configured.',
        ),
        _row(
            Code.TICKET_REQUIRED,
            _NOT_RUN,
            Retry.NO,
            428,
            'A non-idempotent call needs a ticket in Idempotency-Key.',
        ),
        _row(
            Code.TICKET_MALFORMED,
            _NOT_RUN,
            Retry.NO,
            400,
            'The ticket was not issued by this system for this account.',
        ),
        _row(
            Code.NO_ENDPOINT,
            _NOT_RUN,
            Retry.LATER,
            503,
            'No endpoint that the route selects is in service.',
        ),
        _row(
            Code.PROMPT_TOO_LONG,
            _NOT_RUN,
            Retry.NO,
            413,
            'Prompt and output exceed what the route can hold.',
        ),
        _row(
            Code.NO_ROOM,
            _NOT_RUN,
            Retry.LATER,
            503,
            'No engine has room for the request.',
        ),
        _row(
            Code.TOO_LATE,
            _NOT_RUN,
            Retry.LATER,
            503,
            'The request cannot end within its time.',
        ),
        _row(
            Code.ACCOUNT_OVER_LIMIT,
            _NOT_RUN,
            Retry.LATER,
            429,
            'The client account has used up its tokens for now.',
        ),
        _row(
            Code.ENTRY_FULL,
            _NOT_RUN,
            Retry.LATER,
            503,
            'This entry holds as much as it may.',
        ),
        _row(
            Code.ENTRY_LEAVING,
            _NOT_RUN,
            Retry.LATER,
            503,
            'This entry is shutting down.',
        ),
        _row(
            Code.NOT_READY,
            _NOT_RUN,
            Retry.LATER,
            503,
            'This entry has no configuration in force yet.',
        ),
        _row(
            Code.OWNER_UNREACHABLE,
            _NOT_RUN,
            Retry.LATER,
            503,
            "No owner of the engine's memory can be reached.",
        ),
        _row(
            Code.GRANT_EXPIRED,
            _NOT_RUN,
            Retry.LATER,
            503,
            'The grant ran out before the request was started.',
        ),
        _row(
            Code.CONNECT_FAILED,
            _NOT_RUN,
            Retry.LATER,
            503,
            'No connection to the back end could be made.',
        ),
        _row(
            Code.TICKET_VOID,
            _NOT_RUN,
            Retry.NO,
            409,
            'The ticket was closed unused; take a new one.',
        ),
        _row(
            Code.BACK_END_REFUSED,
            _NOT_RUN,
            Retry.LATER,
            503,
            'The back end refused the order as stale.',
        ),
        _row(
            Code.DEADLINE_BEFORE_RUN,
            _NOT_RUN,
            Retry.LATER,
            504,
            'The time ran out before the request was started.',
        ),
        _row(
            Code.ENDPOINT_WITHDRAWN,
            _NOT_RUN,
            Retry.LATER,
            503,
            'The endpoint was withdrawn while the request waited.',
        ),
        _row(
            Code.DEADLINE_EXCEEDED,
            _FAILED,
            Retry.IF_IDEMPOTENT,
            504,
            'The time ran out while the request was running.',
        ),
        _row(
            Code.ENGINE_BROKE,
            _FAILED,
            Retry.IF_IDEMPOTENT,
            502,
            'The engine ended the answer before it was whole.',
        ),
        _row(
            Code.WRONG_ANSWER,
            _FAILED,
            Retry.IF_IDEMPOTENT,
            502,
            'The engine answered for another request or attempt.',
        ),
        _row(
            Code.CALLER_LEFT,
            _FAILED,
            Retry.NO,
            499,
            'The caller closed the connection.',
        ),
        _row(
            Code.RETRIES_SPENT,
            _FAILED,
            Retry.IF_IDEMPOTENT,
            502,
            "The account's budget of retries is spent.",
        ),
        _row(
            Code.SHUTDOWN_CUT,
            _FAILED,
            Retry.IF_IDEMPOTENT,
            503,
            'The entry was stopped before the request ended.',
        ),
        _row(
            Code.CALL_BROKE,
            _UNKNOWN,
            Retry.SAME_TICKET,
            502,
            'The connection broke after the call was sent.',
        ),
        _row(
            Code.CALL_TIMED_OUT,
            _UNKNOWN,
            Retry.SAME_TICKET,
            504,
            'The time ran out after the call was sent.',
        ),
        _row(
            Code.HOME_GONE,
            _UNKNOWN,
            Retry.NO,
            502,
            'The process that knew the outcome is gone or unreachable.',
        ),
        _row(
            Code.RECORD_FORGOTTEN,
            _UNKNOWN,
            Retry.NO,
            410,
            'The record of this ticket has expired.',
        ),
        _row(
            Code.CALL_IN_PROGRESS,
            _UNKNOWN,
            Retry.SAME_TICKET,
            409,
            'An earlier call with this ticket has not ended yet.',
        ),
    ]
)


@dataclasses.dataclass(frozen=True)
class Failure:
    """A failed request, returned by functions instead of a result.

    A failure has a result code, optionally a detail, and the time in seconds
    after which a retry of the request may succeed; 0 if the time is unknown.
    """

    code: Code
    detail: str = ''
    retry_after_s: float = 0.0

    @property
    def row(self) -> Row:
        """The row of the table of result codes for this code."""
        return ROWS_BY_CODE[self.code]

    @property
    def certainty(self) -> Certainty:
        """Whether the request was executed, as far as known."""
        return self.row.certainty

    @property
    def is_not_run(self) -> bool:
        """Whether the request was certainly not executed."""
        return self.certainty is Certainty.NOT_RUN

    @property
    def reason(self) -> str:
        """The message of the code, followed by the detail."""
        if not self.detail:
            return self.row.message
        return f'{self.row.message} {self.detail}'


def failure(
    code: Code, detail: str = '', retry_after_s: float = 0.0
) -> Failure:
    """Returns a failure with the given code."""
    return Failure(code, detail, retry_after_s)


def table_lines() -> list[str]:
    """Returns the lines of the table in docs/RESULT-CODES.md."""
    lines = [
        '| number | name | run? | retry | HTTP | message |',
        '|---|---|---|---|---|---|',
    ]
    lines.extend(_table_line(row) for row in ROWS_BY_CODE.values())
    return lines


def _table_line(row: Row) -> str:
    cells = [
        str(int(row.code)),
        row.code.name,
        row.certainty.value,
        row.retry.value,
        str(row.http_status),
        row.message,
    ]
    return f'| {" | ".join(cells)} |'
