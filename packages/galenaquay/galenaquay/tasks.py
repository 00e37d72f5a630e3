"""Background tasks whose exceptions are always logged."""

import asyncio
from collections.abc import Callable, Coroutine
import logging
from typing import Any, Final

LOG: Final = logging.getLogger(__name__)
# Pause before a task that has failed starts again, in seconds.
RESTART_PAUSE_S: Final = 0.5


def start(
    coroutine: Coroutine[Any, Any, None], name: str
) -> asyncio.Task[None]:
    """Starts a task; if it ends with an exception, this is logged."""
    task = asyncio.create_task(coroutine, name=name)
    task.add_done_callback(_log_failure)
    return task


def start_lasting(
    run: Callable[[], Coroutine[Any, Any, None]], name: str
) -> asyncio.Task[None]:
    """Starts a task that starts again whenever it ends with an exception.

    Args:
        run: Makes the coroutine of each run.
        name: The name of the task, for the log.
    """
    return start(_run_lasting(run, name), name)


async def _run_lasting(
    run: Callable[[], Coroutine[Any, Any, None]], name: str
) -> None:
    while True:
        try:
            await run()
            return
        except Exception:
            LOG.exception('task %s failed and starts again', name)
        await asyncio.sleep(RESTART_PAUSE_S)


def _log_failure(task: asyncio.Task[None]) -> None:
    if task.cancelled():
        return
    exc = task.exception()
    if exc is not None:
        LOG.error('task %s failed', task.get_name(), exc_info=exc)
