"""Property: all VMs together keep an account's rate under any partition."""

import asyncio
import dataclasses
import hashlib

from galenaquay import codes
from galenaquay.configuration import documents
from galenaquay import ids
from galenaquay.limits import accounts
from galenaquay.limits import shares
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
    """Account limiters of several VMs, which call each other directly."""

    def __init__(self):
        self.now_s = 0.0
        self.cut_off_vms = set()
        self.list_version = 1
        self.newest_list = vm_list(1, 3)
        self.vms = []
        self.spent_tokens = 0
        for number in range(VMS):
            me = shares.ProcessId(
                ids.VmId(f'vm{number}'), ids.Incarnation(number + 1)
            )
            view = views.View(me, ids.ZoneName('z'), lambda: self.now_s)
            view.configs.offer(CONFIG)
            view.lists.offer(self.newest_list)
            limiter = accounts.AccountLimiter(
                view, FakePeers(self, number), lambda: self.now_s
            )
            self.vms.append((view, limiter))

    async def admit(self, vm, tokens):
        refusal = await self.vms[vm][1].admit(ACCOUNT, tokens)
        if refusal is None:
            self.spent_tokens += tokens
        return refusal

    def read_newest_list(self, vm):
        view, limiter = self.vms[vm]
        if view.lists.offer(self.newest_list)[0].value == 'accepted':
            limiter.update_former_owners()

    def publish(self, count):
        self.list_version += 1
        self.newest_list = vm_list(self.list_version, count)


class FakePeers:
    """Calls the limiters of other VMs unless either VM is cut off."""

    def __init__(self, fleet, own_number):
        self.fleet = fleet
        self.own_number = own_number

    def find_limiter(self, address):
        number = int(address.split(':')[0].rsplit('.', 1)[1])
        if self.fleet.cut_off_vms & {number, self.own_number}:
            return None
        return self.fleet.vms[number][1]

    async def spend(self, address, request):
        limiter = self.find_limiter(address)
        if limiter is None:
            return codes.failure(codes.Code.OWNER_UNREACHABLE)
        tokens, retry_s = await limiter.spend_as_owner(
            ids.AccountId(request.account_id), request.tokens
        )
        return peer_pb2.SpendReply(
            tokens=tokens, retry_after_ms=int(retry_s * 1000)
        )

    async def yield_account(self, address, request):
        limiter = self.find_limiter(address)
        if limiter is None:
            return codes.failure(codes.Code.OWNER_UNREACHABLE)
        claimant = shares.ProcessId(
            ids.VmId(request.sender.vm_id), ids.Incarnation(1)
        )
        new_owner = limiter.yield_to(
            ids.AccountId(request.account_id), claimant
        )
        return peer_pb2.YieldReply(yielded_to=new_owner or '')


async def run_actions(actions):
    """Runs the actions and returns the fleet.

    After each action, the tokens spent so far are checked against the bound.
    """
    fleet = Fleet()
    admitted_at = set()
    for name, *values in actions:
        if name == 'advance':
            fleet.now_s += values[0]
        elif name == 'admit':
            if await fleet.admit(*values) is None:
                admitted_at.add(values[0])
        elif name == 'flood':
            for _ in range(100):
                if await fleet.admit(*values) is None:
                    admitted_at.add(values[0])
        elif name == 'cut':
            fleet.cut_off_vms.add(values[0])
        elif name == 'heal':
            fleet.cut_off_vms.discard(values[0])
        elif name == 'list':
            fleet.publish(values[0])
        else:
            fleet.read_newest_list(values[0])
        check_spent_tokens(fleet)
    return fleet


def check_spent_tokens(fleet):
    # The owner and each VM have a token bucket, which saves up at most BURST_S
    # of its rate and may be overdrawn by one request. The bound also allows
    # for the few tokens that an owner hands out ahead of need, and for changes
    # of the owner: the new owner starts an empty bucket, which does not
    # include the debt of the former owner's bucket.
    overdrafts = (VMS + fleet.list_version) * 2 * MAX_REQUEST
    bound = RATE * (fleet.now_s + accounts.BURST_S) + overdrafts
    assert fleet.spent_tokens <= bound, (
        fleet.spent_tokens,
        bound,
        fleet.now_s,
    )


async def share_of_one_entry(seconds):
    """Floods one VM; returns the spent part of what the rate allows.

    The returned number is the tokens spent, divided by the tokens that the
    account's rate allows in the time.
    """
    fleet = Fleet()
    for vm in range(VMS):
        assert fleet.vms[vm][0].lists.version == 1
    for _ in range(seconds * 20):
        fleet.now_s += 0.05
        for _ in range(4):
            await fleet.admit(1, 40)
    return fleet.spent_tokens / (RATE * fleet.now_s)


async def flood_two_lists(seconds, cut):
    """Floods all VMs while their lists differ; returns the spent part.

    The first three VMs keep the old list and use the former owner; the other
    two VMs read the new list, which changes the owner. The returned number is
    the tokens spent, divided by the tokens that the account's rate allows in
    the time.

    Args:
        seconds: duration of the flood of requests.
        cut: numbers of the VMs that are cut off from all other VMs.
    """
    fleet = Fleet()
    fleet.publish(VMS)
    for vm in (3, 4):
        fleet.read_newest_list(vm)
    fleet.cut_off_vms = set(cut)
    for _ in range(seconds * 20):
        fleet.now_s += 0.05
        for vm in range(VMS):
            for _ in range(10):
                await fleet.admit(vm, 40)
    return fleet.spent_tokens / (RATE * fleet.now_s)


async def flood_cut_off(seconds):
    """Floods all VMs, each cut off from the others; returns the spent part.

    The returned number is the tokens spent, divided by the tokens that the
    account's rate allows in the time.
    """
    fleet = Fleet()
    fleet.cut_off_vms = set(range(VMS))
    for _ in range(seconds * 20):
        fleet.now_s += 0.05
        for vm in range(VMS):
            for _ in range(4):
                await fleet.admit(vm, 40)
    return fleet.spent_tokens / (RATE * fleet.now_s)


def run(work):
    return asyncio.run(work)
