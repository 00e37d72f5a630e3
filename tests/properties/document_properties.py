"""Properties of copied documents and of what a VM trusts."""

import asyncio
from unittest import mock

from galenaquay.configuration import current as current_module
from galenaquay.configuration import freshness as freshness_module
from galenaquay.configuration import mirror as mirror_module
from galenaquay.configuration import routes
from galenaquay import ids
from galenaquay import tasks
from hypothesis import given
from hypothesis import strategies as st

from tests.properties import path_properties

RUNS = path_properties.RUNS
REVOKE_S = path_properties.REVOKE_S
APPLY_S = 3.0


TRUST_STEPS = st.lists(
    st.one_of(
        st.tuples(st.just('pass'), st.floats(0.0, 6.0)),
        st.tuples(st.just('confirm'), st.floats(0.0, 2.0)),
        st.tuples(st.just('hear'), st.floats(0.0, 8.0)),
    ),
    max_size=30,
)


def make_table(version, keys=()):
    return routes.RouteTable(
        version,
        {},
        {},
        {ids.ApiKey(key): ids.AccountId('a') for key in keys},
        routes.RequestLimits(),
        True,
    )


def make_current(clock):
    return current_module.RouteTableInForce(
        REVOKE_S, freshness_module.Freshness(APPLY_S), clock
    )


@RUNS
@given(TRUST_STEPS, st.integers(1, 3))
def check_keys(steps, heard_revision):
    """API keys are trusted only within REVOKE_S of a valid confirmation.

    A `confirm` step is a confirmation from the platform, which is always
    valid. A `hear` step is a confirmation from another VM, which is valid if
    this VM's copy of the documents contains all changes that the other VM
    knows. A `pass` step advances the clock; a long `pass` step stands for a
    suspended VM, whose clock also advances.
    """
    now_s = 100.0
    current = make_current(lambda: now_s)
    current.offer(make_table(2))
    copy = mirror_module.Mirror([], current.confirm, lambda: now_s)
    copy.replace_all([], 2)
    confirmed_at_s = None
    for step, seconds in steps:
        if step == 'pass':
            now_s += seconds
        elif step == 'confirm':
            copy.record_check(now_s - seconds)
            confirmed_at_s = max(confirmed_at_s or 0, now_s - seconds)
        else:
            copy.adopt_check(heard_revision, now_s - seconds)
            if heard_revision <= 2:
                confirmed_at_s = max(confirmed_at_s or 0, now_s - seconds)
        if current.trusts_keys():
            assert confirmed_at_s is not None
            assert now_s - confirmed_at_s < REVOKE_S
        if current.trusts_absence():
            assert confirmed_at_s is not None
            assert now_s - confirmed_at_s < APPLY_S
        current.offer(make_table(1))
        assert current.table.version == 2


class RecordingSubscriber:
    """Mirror subscriber that records the revision of each document.

    Checks that no document goes back to an older state.
    """

    def __init__(self):
        self.revision_by_key = {}
        self._last_revision_by_key = {}

    def mark_complete(self):
        pass

    def begin_restore(self):
        pass

    def end_restore(self):
        pass

    def apply_change(self, change):
        assert self._last_revision_by_key.get(change.key, 0) < change.revision
        self._last_revision_by_key[change.key] = change.revision
        if change.document is None:
            del self.revision_by_key[change.key]
        else:
            self.revision_by_key[change.key] = change.revision


DOCUMENT_STEPS = st.lists(
    st.one_of(
        st.tuples(st.just('write'), st.sampled_from('abc'), st.booleans()),
        st.tuples(st.just('watch'), st.integers(0, 1), st.booleans()),
        st.tuples(st.just('list'), st.integers(0, 1), st.booleans()),
        st.tuples(st.just('ask'), st.integers(0, 1), st.booleans()),
    ),
    max_size=40,
)


@RUNS
@given(DOCUMENT_STEPS)
def check_documents(steps):
    """A mirror fed by two other VMs is complete and its revision never falls.

    Two mirrors follow the platform with any delay. Some of their reads return
    all documents, as after the platform has dropped its history. The third
    mirror asks either of the two for updates.
    """
    events, platform_documents, revision = [], {}, 1
    followers = [mirror_module.Mirror(), mirror_module.Mirror()]
    subscriber = RecordingSubscriber()
    indirect_mirror = mirror_module.Mirror([subscriber])

    def read_platform(follower, is_full_read):
        if is_full_read or not follower.revision:
            follower.replace_all(list(platform_documents.values()), revision)
            return
        # Repeats the events of the last two known revisions, as a read in
        # pages does.
        new_events = [e for e in events if e.revision > follower.revision - 2]
        follower.apply(new_events, revision)

    def update_from(follower):
        update = follower.changes_since(indirect_mirror.revision)
        previous_revision = indirect_mirror.revision
        if update.is_complete:
            indirect_mirror.replace_all(
                [c.document for c in update.changes], update.revision
            )
        else:
            indirect_mirror.apply(update.changes, update.revision)
        assert indirect_mirror.revision >= previous_revision

    for step, target, flag in steps:
        if step == 'write':
            revision += 1
            document = None
            if flag:
                document = mirror_module.Document(target, b'', revision)
                platform_documents[target] = document
            elif platform_documents.pop(target, None) is None:
                continue
            events.append(mirror_module.Change(target, revision, document))
        elif step == 'watch':
            read_platform(followers[target], flag)
        elif step == 'list' and followers[target].revision:
            followers[target].apply_listing(
                'a',
                [d for k, d in platform_documents.items() if k == 'a'],
                revision,
            )
        elif followers[target].revision:
            update_from(followers[target])
    for follower in followers:
        read_platform(follower, is_full_read=False)
        update_from(follower)
        assert follower.documents_by_key == platform_documents
    assert indirect_mirror.documents_by_key == platform_documents
    assert subscriber.revision_by_key == {
        k: d.revision for k, d in platform_documents.items()
    }


def check_unknown_removal():
    """A VM learns of a removal from a source that never had the document."""
    first = mirror_module.Document('a', b'', 2)
    passing = mirror_module.Document('b', b'', 3)
    source = mirror_module.Mirror()
    source.replace_all([first], 2)
    follower = mirror_module.Mirror()
    follower.replace_all([first, passing], 3)
    source.replace_all([first], 4)
    update = source.changes_since(follower.revision)
    if update.is_complete:
        follower.replace_all(
            [c.document for c in update.changes], update.revision
        )
    else:
        follower.apply(update.changes, update.revision)
    assert set(follower.documents_by_key) == {'a'}


class FailingListener(RecordingSubscriber):
    """Listener that fails on one document."""

    def apply_change(self, change):
        if change.key == 'odd':
            raise RecursionError('too deep')
        super().apply_change(change)


def check_failing_listener():
    """A document that a listener fails on keeps no other from it."""
    listener = FailingListener()
    copy = mirror_module.Mirror([listener])
    documents = [
        mirror_module.Document(key, b'{}', number)
        for number, key in enumerate(('a', 'odd', 'b'), 1)
    ]
    copy.replace_all(documents, 3)
    later = mirror_module.Document('c', b'{}', 4)
    copy.apply([mirror_module.Change('c', 4, later)], 4)
    assert set(listener.revision_by_key) == {'a', 'b', 'c'}
    assert copy.revision == 4


def check_lasting_tasks():
    """A task that fails starts again, and one that ends does not."""
    runs = []

    async def run():
        runs.append(len(runs))
        if len(runs) < 3:
            raise RuntimeError('unexpected')

    async def check():
        with mock.patch.object(tasks, 'RESTART_PAUSE_S', 0.0):
            await tasks.start_lasting(run, 'failing')

    loop = asyncio.new_event_loop()
    loop.run_until_complete(check())
    loop.close()
    assert runs == [0, 1, 2]
