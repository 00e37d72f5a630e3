"""What the steps share: asking, waiting, reading counters."""

import asyncio
import dataclasses
import itertools
import pathlib

from galenaquay_standins import answers
from galenaquay_standins import deployments
from galenaquayctl import clients
import yaml

# Bound on every wait for a condition; no test passes by being fast.
WAIT_S = 30.0
POLL_S = 0.05
NUMBERS = itertools.count(1)


@dataclasses.dataclass
class Asked:
    """A prompt that was sent, and what came back."""

    prompt: clients.Prompt
    state: clients.StreamState
    text: str = ''

    @property
    def is_right(self):
        expected = answers.answer(
            self.prompt.text.encode(), self.prompt.max_tokens
        )
        return self.state.is_complete and self.text == expected


def fleet_of(context):
    return context.shared['fleet']


def run(context, work):
    return context.loop.run_until_complete(work)


def key_of(context):
    accounts = fleet_of(context).options.deployment.accounts
    return deployments.account_key(getattr(context, 'account', accounts[0]))


def headers_of(context):
    return {'Authorization': f'Bearer {key_of(context)}'}


def make_prompt(context, tokens, max_tokens, route='question', deadline=0):
    head = f'request {next(NUMBERS)}. '
    size = tokens * answers.TOKEN_BYTES
    text = (head + 'When is the report due? ' * size)[:size]
    return clients.Prompt(route, text, max_tokens, key_of(context), deadline)


async def ask(fleet, vm, prompt):
    asked = Asked(prompt, clients.StreamState())
    try:
        async for _, text in clients.stream(
            fleet.session, fleet.vm_url(vm), prompt, asked.state
        ):
            asked.text += text
    except clients.ClientError as exc:
        asked.state.error = {'type': 'CONNECTION', 'message': str(exc)}
    return asked


async def until(condition):
    for _ in range(int(WAIT_S / POLL_S)):
        if await condition():
            return True
        await asyncio.sleep(POLL_S)
    return False


async def engine_counters(fleet):
    return {
        e['id']: await fleet.counters(e['url'])
        for e in fleet.endpoints('engine')
    }


async def config_in_force(fleet, version):
    for vm in range(fleet.options.deployment.vms):
        status = await fleet.status(vm)
        if status['config_version'] < version:
            return False
    return True


def running_vms(fleet):
    deployment = fleet.options.deployment
    return [
        vm
        for vm in range(deployment.vms)
        if deployments.vm_id(deployment, vm) in fleet.processes_by_name
    ]


def read_cases(name):
    path = pathlib.Path(__file__).parent / 'cases' / f'{name}.yaml'
    return yaml.safe_load(path.read_text())
