"""Properties of memory that is reserved at engines."""

import asyncio

from galenaquay.engines import directory as directory_module
from galenaquay import ids
from galenaquay.limits import group_memory
from galenaquay.limits import orphaned_memory
from galenaquay.ports import reservations
from hypothesis import given
from hypothesis import strategies as st

from tests.properties import path_properties

RUNS = path_properties.RUNS
# The requirements allow engine memory to stay reserved for at most 4 s after
# the end of the last request that used the reservation.
MAX_RESERVED_AFTER_END_S = 4.0
# Shortest and longest delay, in seconds, after which an engine executes an
# operation that it has not answered. The requirements allow up to 12 s.
LATE_EXECUTION_S = (2.0, 12.0)


class SimulatedTimeLoop(asyncio.SelectorEventLoop):
    """Event loop that skips to the next timer when no callback is ready."""

    def __init__(self):
        super().__init__()
        self._now_s = 0.0

    def time(self):
        return self._now_s

    def _run_once(self):
        if not self._ready and self._scheduled:
            self._now_s = max(self._now_s, self._scheduled[0]._when)
        super()._run_once()


class LossyEngines:
    """Engines that execute some operations late, without an answer.

    Args:
        loop: event loop whose clock times the reservations.
        delays_s: delay of each operation in turn, in seconds; an operation
            with delay 0, or without a delay, is executed and answered at once.
    """

    def __init__(self, loop, delays_s):
        self._loop = loop
        self._delays_s = iter(delays_s)
        self.reserved_until_s = {}
        # Start, end and key of each reservation; the end is None while the
        # reservation lasts.
        self.reservation_spans = []

    def reservation_end(self, key):
        return self.reserved_until_s.get(key, 0.0)

    def _set(self, key, hold_s):
        now_s = self._loop.time()
        if self.reservation_end(key) <= now_s:
            self.reservation_spans.append([now_s, None, key])
        self.reserved_until_s[key] = now_s + hold_s
        self._loop.call_later(hold_s, self._expire, key)

    def _expire(self, key):
        if self.reservation_end(key) <= self._loop.time():
            self._remove(key)

    def _remove(self, key):
        self.reserved_until_s.pop(key, None)
        for span in self.reservation_spans:
            if span[2] == key and span[1] is None:
                span[1] = self._loop.time()

    async def _execute(self, operation):
        delay_s = next(self._delays_s, 0.0)
        await asyncio.sleep(0.002)
        if not delay_s:
            operation()
            return reservations.Outcome.DONE
        self._loop.call_later(delay_s, operation)
        await asyncio.sleep(0.4)
        return reservations.Outcome.UNANSWERED

    async def reserve(self, endpoint, reservation_id, tokens, hold_s):
        key = (endpoint, reservation_id)
        return await self._execute(lambda: self._set(key, hold_s))

    async def release(self, endpoint, reservation_id):
        key = (endpoint, reservation_id)
        return await self._execute(lambda: self._remove(key))

    async def find_use(self, endpoint, reservation_id):
        # The caller asks only after the request that used the reservation has
        # ended, so a reservation that exists is idle.
        await asyncio.sleep(0.002)
        if (
            self.reservation_end((endpoint, reservation_id))
            > self._loop.time()
        ):
            return reservations.Use.IDLE
        return reservations.Use.NONE


OPERATION_DELAYS_S = st.lists(
    st.one_of(st.just(0.0), st.just(0.0), st.floats(*LATE_EXECUTION_S)),
    max_size=40,
)


@RUNS
@given(OPERATION_DELAYS_S, st.floats(0.1, 6.0), st.integers(1, 4))
def check_memory(delays_s, request_s, parts):
    """Memory is released although engines execute operations late."""
    simulate_memory(delays_s, request_s, parts, dies=False)


@RUNS
@given(st.floats(0.1, 6.0), st.integers(1, 4))
def check_memory_of_dead(request_s, parts):
    """Reserved memory is released when the process that reserved it dies."""
    simulate_memory([], request_s, parts, dies=True)


@RUNS
@given(OPERATION_DELAYS_S, st.floats(0.1, 6.0), st.integers(1, 4))
def check_memory_of_dead_late(delays_s, request_s, parts):
    """A dead process's memory is released although renewals execute late."""
    simulate_memory(delays_s, request_s, parts, dies=True)


def simulate_memory(delays_s, request_s, parts, dies):
    """Simulates one request and checks when its memory is released.

    Each reservation must end within MAX_RESERVED_AFTER_END_S of the end of
    the request. For a reservation that a late operation makes after the end of
    the request, the time counts from the start of the reservation. Another VM
    receives a report of the active reservations every second until the process
    dies, and releases the orphaned reservations.
    """
    loop = SimulatedTimeLoop()
    engines = LossyEngines(loop, delays_s)
    memory = group_memory.GroupMemory(engines)
    directory = directory_module.Directory(loop.time)
    for i in range(parts):
        directory.put(path_properties.make_engine(i))
    observer = orphaned_memory.OrphanedMemory(
        ids.VmId('other'), engines, directory, loop.time
    )
    ended_s = None

    async def report():
        while True:
            observer.record_report(
                ids.VmId('dying'),
                ids.Incarnation(1),
                [
                    orphaned_memory.ReportedReservation(
                        reservation.part.endpoint.id, reservation.id
                    )
                    for reservation in memory.active_reservations()
                ],
                2.0,
            )
            await asyncio.sleep(1.0)

    async def send_request():
        nonlocal ended_s
        try:
            async with memory.reserve_all(
                [
                    group_memory.Part(path_properties.make_engine(i), 1000)
                    for i in range(parts)
                ]
            ):
                await asyncio.sleep(request_s)
                if dies:
                    cancel_process_tasks()
        finally:
            ended_s = loop.time()

    def cancel_process_tasks():
        for task in asyncio.all_tasks():
            if task not in surviving_tasks:
                task.cancel()

    async def run():
        surviving_tasks.append(asyncio.current_task())
        surviving_tasks.append(asyncio.ensure_future(observer.run()))
        reporting = asyncio.ensure_future(report())
        await asyncio.sleep(0.01)
        await asyncio.gather(
            asyncio.ensure_future(send_request()), return_exceptions=True
        )
        if dies:
            await asyncio.sleep(0.001)
            cancel_process_tasks()
        await asyncio.sleep(40.0)
        reporting.cancel()
        surviving_tasks[1].cancel()

    surviving_tasks = []
    loop.run_until_complete(run())
    loop.close()
    assert not engines.reserved_until_s
    for start_s, end_s, _ in engines.reservation_spans:
        reserved_after_s = end_s - max(start_s, ended_s)
        assert reserved_after_s < MAX_RESERVED_AFTER_END_S, (
            start_s,
            end_s,
            ended_s,
        )


class EndedEngines(LossyEngines):
    """Engines that refuse connections from some time on."""

    def __init__(self, loop, ended_from_s):
        super().__init__(loop, [])
        self._ended_from_s = ended_from_s
        self.order_times_s = []

    async def _execute(self, operation):
        self.order_times_s.append(self._loop.time())
        if self._loop.time() < self._ended_from_s:
            return await super()._execute(operation)
        await asyncio.sleep(0.001)
        return reservations.Outcome.UNANSWERED


def check_ended_engine():
    """Renewals at an engine that has ended do not follow one another."""
    loop = SimulatedTimeLoop()
    engines = EndedEngines(loop, 1.0)
    memory = group_memory.GroupMemory(engines)
    part = group_memory.Part(path_properties.make_engine(0), 1000)

    async def use_memory():
        async with memory.reserve_all([part]):
            await asyncio.sleep(5.0)

    loop.run_until_complete(use_memory())
    per_s = sum(1.0 <= s < 5.0 for s in engines.order_times_s) / 4.0
    assert per_s <= 10, per_s
    for task in asyncio.all_tasks(loop):
        task.cancel()
    loop.close()
