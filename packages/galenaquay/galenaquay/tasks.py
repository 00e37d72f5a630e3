"""Background tasks whose exceptions are always logged."""

import asyncio
from collections.abc import Coroutine
import logging
from typing import Any, Final

LOG: Final = logging.getLogger(__name__)


def start(
    coroutine: Coroutine[Any, Any, None], name: str
) -> asyncio.Task[None]:
    """Starts a task; if it ends with an exception, this is logged."""
    task = asyncio.create_task(coroutine, name=name)
    task.add_done_callback(_log_failure)
    return task


def _log_failure(task: asyncio.Task[None]) -> None:
    if task.cancelled():
        return
    exc = task.exception()
    if exc is not None:
        LOG.error('task %s failed', task.get_name(), exc_info=exc)
