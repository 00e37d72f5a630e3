"""Request tracing: one span per hop, exported as JSON log lines."""

from collections.abc import Iterator, Sequence
import contextlib
import contextvars
import dataclasses
import logging
import random
from typing import TYPE_CHECKING, Final

from opentelemetry.sdk import trace as sdk_trace
from opentelemetry.sdk.trace import export
from opentelemetry import trace
from opentelemetry.trace.propagation import tracecontext

if TYPE_CHECKING:
    from ..outcomes import requests

SPANS: Final = logging.getLogger('galenaquay.spans')
_PROPAGATOR: Final = tracecontext.TraceContextTextMapPropagator()
_NANOSECONDS_PER_MS: Final = 1_000_000
# Trace flags at the end of a traceparent header whose sender samples the
# trace.
SAMPLED_FLAG: Final = '-01'


class LogExporter(export.SpanExporter):
    """Exports each span as one log line."""

    def export(
        self, spans: Sequence[sdk_trace.ReadableSpan]
    ) -> export.SpanExportResult:
        """Exports ended spans."""
        for span in spans:
            SPANS.info('span', extra=_fields(span))
        return export.SpanExportResult.SUCCESS


def _fields(span: sdk_trace.ReadableSpan) -> dict[str, object]:
    context = span.get_span_context()
    assert context is not None
    start_ns = span.start_time or 0
    end_ns = span.end_time or start_ns
    parent = span.parent
    return {
        'span': span.name,
        'trace_id': f'{context.trace_id:032x}',
        'span_id': f'{context.span_id:016x}',
        'parent_id': '' if parent is None else f'{parent.span_id:016x}',
        'start_ms': start_ns / _NANOSECONDS_PER_MS,
        'took_ms': (end_ns - start_ns) / _NANOSECONDS_PER_MS,
        **dict(span.attributes or {}),
    }


@dataclasses.dataclass
class _Sampling:
    """Which requests are traced."""

    # Share of requests that are traced at random, from 0 to 1.
    share: float = 0.0


_SAMPLING: Final = _Sampling()
# Whether the current request is traced. Checked before a span is created,
# since even an unsampled span costs more than relaying several tokens.
_IS_TRACED: Final = contextvars.ContextVar('is_traced', default=False)


def _tracer() -> trace.Tracer:
    return trace.get_tracer('galenaquay')


def start_tracing(share: float) -> None:
    """Starts tracing.

    Args:
        share: Share of requests to trace at random, from 0 to 1.
    """
    provider = sdk_trace.TracerProvider()
    provider.add_span_processor(export.SimpleSpanProcessor(LogExporter()))
    trace.set_tracer_provider(provider)
    _SAMPLING.share = share


def _should_trace(traceparent: str) -> bool:
    """Returns whether to trace a request.

    A request that its sender samples is always traced; other requests are
    traced at random.
    """
    if traceparent.endswith(SAMPLED_FLAG):
        return True
    return random.random() < _SAMPLING.share


@contextlib.contextmanager
def entry_span(
    name: str, traceparent: str, **fields: str | int
) -> Iterator[None]:
    """Opens the first span of a request in this process, if it is traced.

    Args:
        name: Name of the span.
        traceparent: The request's traceparent header, or ''.
        **fields: Attributes of the span.
    """
    if not _should_trace(traceparent):
        yield
        return
    token = _IS_TRACED.set(True)
    parent = _PROPAGATOR.extract({'traceparent': traceparent})
    try:
        with _tracer().start_as_current_span(name, parent, attributes=fields):
            yield
    finally:
        _IS_TRACED.reset(token)


@contextlib.contextmanager
def span(
    name: str, request: 'requests.Completion', **fields: str | int
) -> Iterator[None]:
    """Opens the span of one hop of a request, if the request is traced."""
    if not _IS_TRACED.get():
        yield
        return
    fields['request_id'] = request.request_id
    with _tracer().start_as_current_span(name, attributes=fields):
        yield


def traceparent(request: 'requests.Completion') -> str:
    """Returns the traceparent header for the next hop of a request."""
    if not _IS_TRACED.get():
        return request.traceparent
    carrier: dict[str, str] = {}
    _PROPAGATOR.inject(carrier)
    return carrier.get('traceparent', request.traceparent)
