"""Helpers of the steps: sending prompts, waiting and reading counters."""

import asyncio
import dataclasses
import itertools
import pathlib

from galenaquay_standins import answers
from galenaquay_standins import deployments
from galenaquayctl import clients
import yaml

# Timeout of every wait for a condition, in seconds. No check requires that a
# condition comes true sooner.
WAIT_S = 30.0
POLL_S = 0.05
PROMPT_NUMBERS = itertools.count(1)


@dataclasses.dataclass
class PromptResult:
    """A prompt that was sent and the response to the prompt."""

    prompt: clients.Prompt
    state: clients.StreamState
    text: str = ''

    @property
    def is_correct(self):
        expected = answers.answer(
            self.prompt.text.encode(), self.prompt.max_tokens
        )
        return self.state.is_complete and self.text == expected


def fleet_of(context):
    return context.shared['fleet']


def run(context, coroutine):
    return context.loop.run_until_complete(coroutine)


def account_key(context):
    accounts = fleet_of(context).options.deployment.accounts
    return deployments.account_key(getattr(context, 'account', accounts[0]))


def auth_headers(context):
    return {'Authorization': f'Bearer {account_key(context)}'}


def make_prompt(context, tokens, max_tokens, route='question', deadline=0):
    head = f'request {next(PROMPT_NUMBERS)}. '
    size = tokens * answers.TOKEN_BYTES
    text = (head + 'When is the report due? ' * size)[:size]
    return clients.Prompt(
        route, text, max_tokens, account_key(context), deadline
    )


async def send_prompt(fleet, vm, prompt):
    result = PromptResult(prompt, clients.StreamState())
    try:
        async for _, text in clients.stream(
            fleet.session, fleet.vm_url(vm), prompt, result.state
        ):
            result.text += text
    except clients.ClientError as exc:
        result.state.error = {'type': 'CONNECTION', 'message': str(exc)}
    return result


async def wait_until(condition):
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


async def is_config_in_force(fleet, version):
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


def publish_and_wait(context):
    """Publishes the configuration and waits until it is in force."""
    fleet = fleet_of(context)
    version = run(context, fleet.publish_config())
    assert run(
        context,
        wait_until(lambda: is_config_in_force(fleet, version)),
    )
