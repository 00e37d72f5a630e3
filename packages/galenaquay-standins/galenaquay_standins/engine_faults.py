"""Faults that the stand-in of an engine injects into its responses."""

import enum
from typing import Final

# Time for which the listener of an engine outlives the connections in
# `Fault.NO_LENGTH_LATE_CRASH`, in seconds.
LISTENER_OUTLIVES_S: Final = 0.15


class Fault(enum.Enum):
    """Fault that the engine injects into the next request."""

    # Responds 503 with `X-Not-Executed` and does not execute the request.
    REJECT = 'reject'
    # Executes the request, then closes or resets the connection without a
    # response.
    CLOSE_CONNECTION = 'close'
    RESET_CONNECTION = 'reset'
    # Executes the request and responds with a body that is not a stream.
    PLAIN_RESPONSE = 'plain'
    # Executes the request and sends no response.
    NO_RESPONSE = 'mute'
    # Executes the request and responds 500.
    SERVER_ERROR = 'fail'
    # Responds 200 without `X-Response-Seal`.
    NO_SEAL = 'unproved'
    # Responds 200 with the attempt id of another request.
    WRONG_ATTEMPT_ID = 'crossed'
    # Executes the request and responds like a rejection, or a misdirected
    # request, of an earlier request.
    STALE_REJECTION = 'stale rejection'
    STALE_MISDIRECTION = 'stale misdirection'
    # Executes the request and responds like a rejection, without an id.
    ANONYMOUS_REJECTION = 'anonymous rejection'
    # Sends the complete response of a plain service twice.
    DUPLICATE_RESPONSE = 'extra'
    # Sends a body without a length. The connection is closed after the body,
    # or reset 50 ms later; a stream is reset after a complete event.
    NO_LENGTH = 'unframed'
    NO_LENGTH_RESET = 'unframed reset'
    # Sends a stream without a length and closes the connection in the middle
    # of an event.
    NO_LENGTH_PARTIAL_EVENT = 'unframed torn'
    # Sends a stream without a length and ends like a crashed process after a
    # complete event.
    NO_LENGTH_CRASH = 'unframed crash'
    # Sends a body without a length and ends like a crashed process before the
    # body is complete, with all connections. The listener ends later than the
    # connections, or another run of the endpoint, an endpoint with another id
    # or a process that answers nothing listens at the address at once.
    NO_LENGTH_LATE_CRASH = 'unframed late crash'
    NO_LENGTH_RESTART = 'unframed restart'
    NO_LENGTH_REUSE = 'unframed reuse'
    NO_LENGTH_SILENCE = 'unframed silence'
    # Closes the connection in the middle of the response's head.
    PARTIAL_HEAD = 'cut head'
    # Resets the connection in the middle of a server-sent event.
    PARTIAL_EVENT = 'torn'
    # Sets a `Content-Encoding` that the client did not request.
    ENCODED = 'encoded'
    # Responds 503 with `X-Not-Executed` before the engine reads the body.
    EARLY_RESPONSE = 'early'
    # Executes the request and responds before the engine reads the body, which
    # is read after a pause. A stream pauses after its first event until then.
    LATE_BODY = 'late body'
    # Executes the request, responds without reading the body, and closes the
    # connection, or resets it.
    UNREAD_CLOSE = 'unread close'
    UNREAD_RESET = 'unread reset'
    # Executes the request, sends a part of a body without a length, and resets
    # the connection without reading the request's body.
    UNREAD_HALF_RESET = 'unread half reset'
    # Executes the request, reads no more than its head, and does not respond.
    UNREAD_SILENCE = 'unread silence'
    # Like `UNREAD_SILENCE`; after a pause, acknowledges nothing any more.
    UNREAD_DEATH = 'unread death'
    # Reads the whole request; after a pause, acknowledges nothing any more.
    READ_DEATH = 'read death'
    # Executes the request and sends bytes until the client disconnects: a
    # header, informational responses, a body without a length, or a stream
    # without the end of an event.
    ENDLESS_HEADER = 'endless header'
    ENDLESS_INFORMATIONAL = 'endless informational'
    ENDLESS_BODY = 'endless body'
    ENDLESS_EVENT = 'endless event'
    # Like `ENDLESS_EVENT`, but with a pause after each byte.
    SLOW_ENDLESS_EVENT = 'slow endless event'


# Faults that send bytes until the client disconnects.
ENDLESS_FAULTS: Final = frozenset(
    (
        Fault.ENDLESS_HEADER,
        Fault.ENDLESS_INFORMATIONAL,
        Fault.ENDLESS_BODY,
        Fault.ENDLESS_EVENT,
        Fault.SLOW_ENDLESS_EVENT,
    )
)
# Faults that end all connections of the engine between two events, as a crash
# of the process does.
CRASH_FAULTS: Final = frozenset(
    (
        Fault.NO_LENGTH_CRASH,
        Fault.NO_LENGTH_LATE_CRASH,
        Fault.NO_LENGTH_RESTART,
        Fault.NO_LENGTH_REUSE,
        Fault.NO_LENGTH_SILENCE,
    )
)
# Faults that send a body without a length.
UNFRAMED_FAULTS: Final = CRASH_FAULTS | {
    Fault.NO_LENGTH,
    Fault.NO_LENGTH_RESET,
    Fault.NO_LENGTH_PARTIAL_EVENT,
    Fault.UNREAD_HALF_RESET,
}
# Faults that break a stream off.
BREAKING_FAULTS: Final = CRASH_FAULTS | {
    Fault.PARTIAL_EVENT,
    Fault.NO_LENGTH_RESET,
    Fault.NO_LENGTH_PARTIAL_EVENT,
}
# Of these, the faults that break a stream off after a complete event.
BREAKS_BETWEEN_EVENTS: Final = CRASH_FAULTS | {Fault.NO_LENGTH_RESET}
# Faults that leave the body unread when the engine begins to respond.
UNREAD_FAULTS: Final = frozenset(
    (
        Fault.LATE_BODY,
        Fault.UNREAD_CLOSE,
        Fault.UNREAD_RESET,
        Fault.UNREAD_HALF_RESET,
        Fault.UNREAD_SILENCE,
        Fault.UNREAD_DEATH,
    )
)
# Faults that reset the connection after the response.
RESET_FAULTS: Final = frozenset((Fault.UNREAD_RESET, Fault.UNREAD_HALF_RESET))
# Faults after which the engine only waits for the end of the connection.
SILENT_FAULTS: Final = frozenset(
    (Fault.UNREAD_SILENCE, Fault.UNREAD_DEATH, Fault.READ_DEATH)
)
