"""Property: whatever is cut off, an account's rate holds over the fleet."""

import asyncio
import dataclasses
import hashlib

from galenaquay import codes
from galenaquay.configuration import documents
from galenaquay import ids
from galenaquay.limits import accounts
from galenaquay.limits import ledger
from galenaquay.membership import view as views
from galenaquay_api import peer_pb2
from hypothesis import strategies as st
import orjson

RATE = 1000.0
MAX_REQUEST = 100
VMS = 5
KEY = hashlib.sha256(b'key').hexdigest()
ACCOUNT = documents.Account(id='acc10', key_sha256=KEY, tokens_s=RATE)
CONFIG = orjson.dumps(
    {
        'version': 1,
        'zones': [{'name': 'z', 'region': 'r'}],
        'endpoints': [],
        'pools': [],
        'accounts': [dataclasses.asdict(ACCOUNT)],
        'routes': [],
    }
)
ACTIONS = st.lists(
    st.one_of(
        st.tuples(st.just('advance'), st.sampled_from([0.05, 0.5, 3.0, 20.0])),
        st.tuples(
            st.just('admit'),
            st.integers(0, VMS - 1),
            st.integers(1, MAX_REQUEST),
        ),
        st.tuples(
            st.just('flood'), st.integers(0, VMS - 1), st.integers(50, 100)
        ),
        st.tuples(st.just('cut'), st.integers(0, VMS - 1)),
        st.tuples(st.just('heal'), st.integers(0, VMS - 1)),
        st.tuples(st.just('list'), st.integers(1, VMS)),
        st.tuples(st.just('learn'), st.integers(0, VMS - 1)),
    ),
    max_size=60,
)


def vm_list(version, count):
    return orjson.dumps(
        {
            'version': version,
            'vms': [
                {
                    'id': f'vm{n}',
                    'zone': 'z',
                    'region': 'r',
                    'callers': f'10.0.0.{n}:1',
                    'peers': f'10.0.0.{n}:2',
                    'state': 'live' if n < count else 'leaving',
                }
                for n in range(VMS)
            ],
        }
    )


class Fleet:
    """Accounts of several VMs that call each other directly."""

    def __init__(self):
        self.now = 0.0
        self.cut = set()
        self.version = 1
        self.list = vm_list(1, 3)
        self.vms = []
        self.spent = 0
        for number in range(VMS):
            me = ledger.ProcessId(
                ids.VmId(f'vm{number}'), ids.Incarnation(number + 1)
            )
            view = views.View(me, ids.ZoneName('z'), lambda: self.now)
            view.configs.offer(CONFIG)
            view.lists.offer(self.list)
            made = accounts.AccountLimiter(
                view, FakePeers(self, number), lambda: self.now
            )
            self.vms.append((view, made))

    async def admit(self, vm, tokens):
        refused = await self.vms[vm][1].admit(ACCOUNT, tokens)
        if refused is None:
            self.spent += tokens
        return refused

    def learn(self, vm):
        view, made = self.vms[vm]
        if view.lists.offer(self.list)[0].value == 'accepted':
            made.update_former_owners()

    def publish(self, count):
        self.version += 1
        self.list = vm_list(self.version, count)


class FakePeers:
    """Reaches other VMs unless one side is cut off."""

    def __init__(self, fleet, me):
        self.fleet = fleet
        self.me = me

    def target(self, address):
        number = int(address.split(':')[0].rsplit('.', 1)[1])
        if self.fleet.cut & {number, self.me}:
            return None
        return self.fleet.vms[number][1]

    async def spend(self, address, request):
        target = self.target(address)
        if target is None:
            return codes.failure(codes.Code.OWNER_UNREACHABLE)
        tokens, retry_s = await target.spend_as_owner(
            ids.AccountId(request.account_id), request.tokens
        )
        return peer_pb2.SpendReply(
            tokens=tokens, retry_after_ms=int(retry_s * 1000)
        )

    async def yield_account(self, address, request):
        target = self.target(address)
        if target is None:
            return codes.failure(codes.Code.OWNER_UNREACHABLE)
        asker = ledger.ProcessId(
            ids.VmId(request.sender.vm_id), ids.Incarnation(1)
        )
        held_by = target.yield_to(ids.AccountId(request.account_id), asker)
        return peer_pb2.YieldReply(yielded_to=held_by or '')


async def run_actions(actions):
    """Takes every action; returns what was spent and the bound on it."""
    fleet = Fleet()
    admitted_at = set()
    for name, *values in actions:
        if name == 'advance':
            fleet.now += values[0]
        elif name == 'admit':
            if await fleet.admit(*values) is None:
                admitted_at.add(values[0])
        elif name == 'flood':
            for _ in range(100):
                if await fleet.admit(*values) is None:
                    admitted_at.add(values[0])
        elif name == 'cut':
            fleet.cut.add(values[0])
        elif name == 'heal':
            fleet.cut.discard(values[0])
        elif name == 'list':
            fleet.publish(values[0])
        else:
            fleet.learn(values[0])
        check(fleet)
    return fleet


def check(fleet):
    # Each bucket saves up its burst and may be overdrawn by one request:
    # that of the owner and one on each VM. An owner gives out a little
    # ahead; a change of owner starts an empty bucket beside the old debt.
    overdrafts = (VMS + fleet.version) * 2 * MAX_REQUEST
    bound = RATE * (fleet.now + accounts.BURST_S) + overdrafts
    assert fleet.spent <= bound, (fleet.spent, bound, fleet.now)


async def share_of_one_entry(seconds):
    """Returns the part of the rate that one entry alone can spend."""
    fleet = Fleet()
    for vm in range(VMS):
        assert fleet.vms[vm][0].lists.version == 1
    for _ in range(seconds * 20):
        fleet.now += 0.05
        for _ in range(4):
            await fleet.admit(1, 40)
    return fleet.spent / (RATE * fleet.now)


async def flood_two_lists(seconds, cut):
    """Returns what is spent while some have not learnt of a new owner.

    The first three VMs keep the old list, the others read the new one. The
    old owner may be cut off from everyone but those that keep its list.
    """
    fleet = Fleet()
    fleet.publish(VMS)
    for vm in (3, 4):
        fleet.learn(vm)
    fleet.cut = set(cut)
    for _ in range(seconds * 20):
        fleet.now += 0.05
        for vm in range(VMS):
            for _ in range(10):
                await fleet.admit(vm, 40)
    return fleet.spent / (RATE * fleet.now)


async def flood_cut_off(seconds):
    """Returns what all entries spend, each cut off from the others."""
    fleet = Fleet()
    fleet.cut = set(range(VMS))
    for _ in range(seconds * 20):
        fleet.now += 0.05
        for vm in range(VMS):
            for _ in range(4):
                await fleet.admit(vm, 40)
    return fleet.spent / (RATE * fleet.now)


def run(work):
    return asyncio.run(work)
