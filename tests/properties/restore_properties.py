"""Properties of VMs whose platform store is restored from older snapshots."""

import dataclasses

from galenaquay.configuration import current as current_module
from galenaquay.configuration import freshness as freshness_module
from galenaquay.configuration import mirror as mirror_module
from galenaquay.configuration import store_revisions
from galenaquay.engines import directory as directory_module
from galenaquay_platform import documents
from galenaquay_platform import feeds
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import orjson

RUNS = settings(
    max_examples=200, deadline=None, derandomize=True, database=None
)
REVOKE_S = 5.0
APPLY_S = 2.0
# Time between two checks of a VM, in seconds.
CHECK_S = 0.4
# Time after a restore within which all that was lost is written again.
REWRITE_S = 2.9
VMS = 4
# VMs that read the store; the others ask another VM.
READERS = 2
ZONES = ('ba', 'nadi')


def config_value(version):
    """Each version has a key of its own, so an old key shows an old table."""
    return orjson.dumps(
        {
            'version': version,
            'routes': [],
            'services': [],
            'tenants': [{'name': 'acme', 'apiKeys': [f'key-{version}']}],
        }
    )


def endpoint_value(number, state, born):
    return orjson.dumps(
        {
            'service': 'models',
            'address': f'127.0.0.1:{9000 + number}',
            'zone': ZONES[number % len(ZONES)],
            'slots': 8,
            'state': state,
            'coldRemainingMs': 0,
            'born': born,
        }
    )


@dataclasses.dataclass
class SimulatedStore:
    """The store, its writers, and what a restore has made it lose."""

    epoch: int = 1
    number: int = 1
    items_by_key: dict = dataclasses.field(default_factory=dict)
    events: list = dataclasses.field(default_factory=list)
    # What the writers hold to be written: None for a removed item.
    wanted_by_key: dict = dataclasses.field(default_factory=dict)
    snapshots: list = dataclasses.field(default_factory=list)

    def write(self, key, value):
        self.wanted_by_key[key] = value
        self.number += 1
        revision = store_revisions.make_revision(self.epoch, self.number)
        document = None
        if value is None:
            self.items_by_key.pop(key, None)
        else:
            document = mirror_module.Document(key, value, revision)
            self.items_by_key[key] = document
        self.events.append(mirror_module.Change(key, revision, document))

    def snapshot(self):
        self.snapshots.append(
            (self.number, dict(self.items_by_key), list(self.events))
        )

    def restore(self, index):
        self.number, items, events = self.snapshots[
            index % len(self.snapshots)
        ]
        self.epoch += 1
        self.items_by_key = {key: self._renew(d) for key, d in items.items()}
        self.events = [
            mirror_module.Change(
                change.key,
                self._in_epoch(change.revision),
                change.document and self._renew(change.document),
            )
            for change in events
        ]

    def _in_epoch(self, revision):
        return store_revisions.make_revision(
            self.epoch, store_revisions.number_of(revision)
        )

    def _renew(self, document):
        return dataclasses.replace(
            document, revision=self._in_epoch(document.revision)
        )

    def lacks(self):
        """Returns the keys that the writers have to write again."""
        return [
            key
            for key, value in self.wanted_by_key.items()
            if value != getattr(self.items_by_key.get(key), 'value', None)
        ]

    @property
    def revision(self):
        return store_revisions.make_revision(self.epoch, self.number)


class SimulatedVm:
    """The documents of a VM and what it derives from them."""

    def __init__(self, clock):
        self.current = current_module.RouteTableInForce(
            REVOKE_S, freshness_module.Freshness(APPLY_S), clock
        )
        self.directory = directory_module.Directory(clock)
        operator = feeds.OperatorFeed(self.current, self.directory)
        self.copy = mirror_module.Mirror(
            [operator, feeds.EndpointFeed(self.directory)],
            operator.confirm,
            clock,
        )
        self.highest_version = 0

    def read(self, store, reads_all):
        """Reads the store as the adapter does; returns whether it is current.

        A watch of an earlier epoch, and one from a revision that the store
        does not have, gets all documents.
        """
        copy = self.copy
        epoch = store_revisions.epoch_of(copy.revision)
        if reads_all or not copy.revision or epoch < store.epoch:
            copy.replace_all(list(store.items_by_key.values()), store.revision)
        else:
            events = [e for e in store.events if e.revision > copy.revision]
            copy.apply(events, store.revision)
        copy.record_check(copy.now_s())

    def ask(self, source):
        """Asks another VM, unless that one is of an earlier epoch."""
        if not source.copy.revision or store_revisions.epoch_of(
            source.copy.revision
        ) < store_revisions.epoch_of(self.copy.revision):
            return
        update = source.copy.changes_since(self.copy.revision)
        if update.is_complete:
            self.copy.replace_all(
                [c.document for c in update.changes if c.document],
                update.revision,
            )
        else:
            self.copy.apply(update.changes, update.revision)
        self.copy.record_check(self.copy.now_s() - source.copy.checked_age_s())

    def check_table(self):
        """Checks that the version in force and its keys never fall."""
        table = self.current.table
        if table is None:
            return
        assert table.version >= self.highest_version
        self.highest_version = table.version
        assert list(table.accounts_by_key) == [f'key-{table.version}']


STEPS = st.lists(
    st.one_of(
        st.tuples(st.just('publish'), st.integers(1, 3)),
        st.tuples(st.just('endpoint'), st.integers(0, 3)),
        st.tuples(st.just('drain'), st.integers(0, 3)),
        st.tuples(st.just('unlist'), st.integers(0, 3)),
        st.tuples(st.just('withdraw'), st.integers(0, 1)),
        st.tuples(st.just('return'), st.integers(0, 1)),
        st.tuples(st.just('snapshot'), st.just(0)),
        st.tuples(st.just('restore'), st.integers(0, 9)),
        st.tuples(st.just('rewrite'), st.integers(1, 3)),
        st.tuples(st.just('read'), st.integers(0, READERS - 1)),
        st.tuples(st.just('list'), st.integers(0, READERS - 1)),
        st.tuples(st.just('ask'), st.integers(0, 99)),
        st.tuples(st.just('restart'), st.integers(0, VMS - 1)),
        st.tuples(st.just('pass'), st.integers(1, 20)),
    ),
    min_size=20,
    max_size=60,
)


class Play:
    """Runs steps on a store and VMs."""

    def __init__(self):
        self.now_s = 100.0
        self.version = 0
        self.store = SimulatedStore()
        self.vms = [SimulatedVm(self.clock) for _ in range(VMS)]
        self.born = 0
        self.take('publish', 1)
        self.take('endpoint', 0)
        self.store.snapshot()

    def clock(self):
        return self.now_s

    def take(self, step, number):
        getattr(self, f'take_{step}')(number)
        for vm in self.vms:
            vm.check_table()

    def take_publish(self, number):
        self.version += number
        self.store.write(documents.CONFIG_KEY, config_value(self.version))

    def take_endpoint(self, number):
        self.born += 1
        self.write_endpoint(number, 'ready')

    def take_drain(self, number):
        self.write_endpoint(number, 'draining')

    def write_endpoint(self, number, state):
        key = f'{documents.ENDPOINTS_PREFIX}e{number}'
        self.store.write(key, endpoint_value(number, state, self.born))

    def take_unlist(self, number):
        self.store.write(f'{documents.ENDPOINTS_PREFIX}e{number}', None)

    def take_withdraw(self, number):
        self.store.write(f'{documents.WITHDRAWN_PREFIX}{ZONES[number]}', b'{}')

    def take_return(self, number):
        self.store.write(f'{documents.WITHDRAWN_PREFIX}{ZONES[number]}', None)

    def take_snapshot(self, _):
        self.store.snapshot()

    def take_restore(self, number):
        self.store.restore(number)

    def take_rewrite(self, number):
        for key in self.store.lacks()[:number]:
            self.store.write(key, self.store.wanted_by_key[key])

    def take_read(self, number):
        self.vms[number].read(self.store, reads_all=False)

    def take_list(self, number):
        self.vms[number].read(self.store, reads_all=True)

    def take_ask(self, number):
        vm = self.vms[READERS + number % (VMS - READERS)]
        source = self.vms[number // 10 % VMS]
        if source is not vm:
            vm.ask(source)

    def take_restart(self, number):
        self.vms[number] = SimulatedVm(self.clock)

    def take_pass(self, number):
        self.now_s += number / 10

    def rest(self):
        """Has the writers write again, and the VMs read long enough."""
        for _ in range(3):
            self.take_rewrite(len(self.store.wanted_by_key))
            for number in range(READERS):
                self.take_read(number)
            for vm in self.vms[READERS:]:
                vm.ask(self.vms[0])
            self.now_s += mirror_module.RESTORE_GRACE_S + 0.1


@RUNS
@given(STEPS)
def check_restores(steps):
    """VMs agree with a restored store, and no configuration goes back.

    The store is restored from any earlier snapshot at any time, VMs read it
    or each other with any delay and restart, and the writers write again what
    was lost, in any order. The version in force never falls at a VM that
    lives. All VMs show what the writers want once the store rests.
    """
    play = Play()
    for step, number in steps:
        play.take(step, number)
    play.rest()
    wanted = {k: v for k, v in play.store.wanted_by_key.items() if v}
    for vm in play.vms:
        vm.check_table()
        assert vm.current.table.version == play.version
        held = {k: d.value for k, d in vm.copy.documents_by_key.items()}
        assert held == wanted
        check_derived(vm, wanted)


def check_derived(vm, wanted):
    zones = {
        key.removeprefix(documents.WITHDRAWN_PREFIX)
        for key in wanted
        if key.startswith(documents.WITHDRAWN_PREFIX)
    }
    assert vm.directory.withdrawn_zones == zones
    states = {
        f'{documents.ENDPOINTS_PREFIX}{endpoint.id}': endpoint.state.value
        for endpoint in vm.directory.endpoints_by_id.values()
    }
    assert states == {
        key: orjson.loads(value)['state']
        for key, value in wanted.items()
        if key.startswith(documents.ENDPOINTS_PREFIX)
    }


@RUNS
@given(st.booleans(), st.integers(0, 40), st.floats(0.0, 2.9))
def check_lost_drain(is_removed, later_writes, after_s):
    """A run that was listed as draining stays so though the store lost it.

    It does not stay so for ever.
    """
    play = Play()
    play.take('endpoint', 1)
    play.store.snapshot()
    play.take('drain', 1)
    play.take('read', 0)
    if is_removed:
        play.take('unlist', 1)
        play.take('read', 0)
    play.store.restore(1)
    for _ in range(later_writes):
        play.take('publish', 1)
    play.take('read', 0)
    play.now_s += after_s
    play.take('read', 0)
    directory = play.vms[0].directory
    endpoint = directory.endpoints_by_id.get('e1')
    assert endpoint is None or not directory.is_usable(endpoint)
    # Nobody writes it again, so the store is right.
    for _ in range(2):
        play.now_s += mirror_module.RESTORE_GRACE_S + 0.1
        play.take('read', 0)
    assert directory.is_usable(directory.endpoints_by_id['e1'])


@RUNS
@given(st.floats(0.0, 0.4), st.floats(0.0, CHECK_S), st.floats(0.0, CHECK_S))
def check_kept_keys(away_s, before_s, after_s):
    """API keys stay in use through a restore that has lost nothing."""
    play = Play()
    play.take('read', 0)
    play.now_s += before_s + away_s
    play.store.restore(0)
    play.take('read', 0)
    ends_at_s = play.now_s + 2 * mirror_module.RESTORE_GRACE_S
    play.now_s += after_s
    while play.now_s < ends_at_s:
        assert play.vms[0].current.trusts_keys(), play.now_s
        play.take('read', 0)
        assert play.vms[0].current.trusts_keys(), play.now_s
        play.now_s += CHECK_S


@RUNS
@given(st.floats(0.0, REWRITE_S), st.floats(0.0, 4.0))
def check_lost_revocation(rewritten_after_s, away_s):
    """A key whose removal the store has lost stops working in time.

    The VM has not read the configuration that removed the key before the
    store lost it, and the operator writes it again some time later.
    """
    play = Play()
    vm = play.vms[0]
    play.take('read', 0)
    revoked_at_s = play.now_s
    play.store.snapshot()
    play.take('publish', 1)
    play.now_s += away_s
    play.store.restore(1)
    restored_at_s = play.now_s
    while play.now_s < revoked_at_s + REVOKE_S + 1.0:
        play.now_s += 0.1
        if play.now_s >= restored_at_s + rewritten_after_s:
            play.take('rewrite', 1)
        play.take('read', 0)
        accepts_key = 'key-1' in vm.current.table.accounts_by_key
        if accepts_key and vm.current.trusts_keys():
            assert play.now_s < revoked_at_s + REVOKE_S
