"""Properties of the keeper of transfers that go on after the response."""

import asyncio

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from galenaquay.adapters import body_transfers
from galenaquay import telemetry

MAX_HELD_BYTES = 100
MAX_TRANSFERS = 5


class FakeConnection:
    """A connection whose endpoint takes the body when the test says so."""

    def __init__(self, held):
        self.held = held
        self.taken = asyncio.Event()
        self.ended = asyncio.Event()
        # How the keeper ended the connection.
        self.ends = []

    def has_unsent(self):
        return not self.taken.is_set()

    def held_bytes(self):
        return 0 if self.taken.is_set() else self.held

    async def wait_taken(self):
        await self.taken.wait()

    async def wait_ended(self):
        await self.ended.wait()

    def close(self):
        self.ends.append('close')

    def abort(self):
        self.ends.append('abort')


ACTIONS = st.lists(
    st.one_of(
        st.tuples(st.just('add'), st.integers(0, MAX_HELD_BYTES)),
        st.tuples(st.sampled_from(['take', 'end']), st.integers(0, 20)),
    ),
    max_size=30,
)


async def play(actions):
    metrics = telemetry.TextMetrics()
    transfers = body_transfers.BodyTransfers(
        metrics, MAX_HELD_BYTES, MAX_TRANSFERS
    )
    connections = []
    for action, number in actions:
        pending = [each for each in connections if not each.ends]
        if action == 'add':
            connections.append(FakeConnection(number))
            transfers.add('r', 'e', connections[-1], float('inf'))
            assert not connections[-1].ends, 'the newest transfer was ended'
            # The oldest are aborted first, and no more than needed.
            aborted = [each for each in pending if each.ends]
            if aborted:
                kept = transfers.held_bytes()
                last = aborted[-1]
                assert (
                    kept + last.held > MAX_HELD_BYTES
                    or transfers.count() + 1 > MAX_TRANSFERS
                )
                older = pending[: pending.index(last)]
                assert all(each.ends or not each.held for each in older)
        elif pending:
            each = pending[number % len(pending)]
            (each.taken if action == 'take' else each.ended).set()
            for _ in range(5):
                await asyncio.sleep(0)
            assert each.ends == ['close' if action == 'take' else 'abort']
        assert transfers.held_bytes() <= MAX_HELD_BYTES
        assert transfers.count() <= MAX_TRANSFERS
        assert transfers.count() == sum(not e.ends for e in connections)
    transfers.end_all()
    assert transfers.count() == 0
    # Each connection is ended exactly once.
    assert all(len(each.ends) == 1 for each in connections)
    await asyncio.sleep(0)
    others = asyncio.all_tasks() - {asyncio.current_task()}
    for _ in range(5):
        await asyncio.sleep(0)
    assert all(task.done() for task in others), others


@settings(max_examples=200, deadline=None)
@given(ACTIONS)
def check_late_bodies(actions):
    """Transfers stay within their bounds; the oldest are aborted first."""
    asyncio.run(play(actions))
