"""Demonstrates galenaquay on one machine with a deployment of three zones.

Starts the deployment as processes. Sends three prompts over HTTP: a short
question, a document of 100,000 tokens and a text of a million tokens. Then
sends one service call twice with the same ticket; the service must run the
call only once. Prints the latencies, the text and the endpoints of each
response and stops all processes.
"""

import asyncio
import dataclasses
import pathlib
import sys
import time
from typing import Final

import click
from galenaquay_standins import answers
from galenaquay_standins import deployments
from galenaquay_standins import fleet as fleets
import orjson

# How many times as fast as real time the engine stand-ins run.
TIME_SCALE: Final = 10.0
MAX_TOKENS: Final = 24
FIRST_PORT_BY_DEPLOYMENT: Final = {'vakaloloma': 21000, 'faellesgard': 22000}
RUN_DIRECTORY: Final = pathlib.Path('.run')


@dataclasses.dataclass(frozen=True)
class Prompt:
    """One prompt of the demo."""

    title: str
    route: str
    tokens: int
    text: str


@dataclasses.dataclass(frozen=True)
class PromptResult:
    """The response to one prompt, and its latencies."""

    ttft_s: float
    total_s: float
    ran_on: str
    text: str


def make_prompt(title: str, route: str, sentence: str, tokens: int) -> Prompt:
    """Returns a prompt of numbered clauses with the given length."""
    prompt_bytes = tokens * answers.TOKEN_BYTES
    clauses: list[str] = []
    length = 0
    while length < prompt_bytes:
        clauses.append(f'Clause {len(clauses) + 1}. {sentence} ')
        length += len(clauses[-1])
    return Prompt(title, route, tokens, ''.join(clauses)[:prompt_bytes])


def make_prompts(name: str) -> list[Prompt]:
    """Returns the three prompts for a deployment."""
    if name == 'vakaloloma':
        sentence = 'The trust reports to the funder by the last Friday.'
        titles = ('grant clause', 'funder agreement', 'reporting archive')
    else:
        sentence = 'The hirer returns the plot swept and the gate locked.'
        titles = ('gate question', 'tender', 'project file')
    return [
        make_prompt(titles[0], 'question', sentence, 1_000),
        make_prompt(titles[1], 'summary', sentence, 100_000),
        make_prompt(titles[2], 'summary', sentence, 1_000_000),
    ]


async def send_prompt(
    fleet: fleets.Fleet, vm: int, prompt: Prompt
) -> PromptResult:
    """Sends a prompt to a VM and reads the streamed response."""
    account = fleet.options.deployment.accounts[0]
    key = deployments.account_key(account)
    started_s = time.monotonic()
    ttft_s = 0.0
    ran_on = ''
    texts: list[str] = []
    async with fleet.session.post(
        fleet.vm_url(vm) + '/v1/completions',
        json={
            'model': prompt.route,
            'prompt': prompt.text,
            'max_tokens': MAX_TOKENS,
            'stream': True,
        },
        headers={'Authorization': f'Bearer {key}'},
    ) as response:
        async for line in response.content:
            if line.startswith(b': ran on '):
                ran_on = line.decode().removeprefix(': ran on ').strip()
            if not line.startswith(b'data: {'):
                continue
            event = orjson.loads(line.removeprefix(b'data: '))
            if 'choices' not in event:
                raise SystemExit(f'{prompt.title}: {event}')
            ttft_s = ttft_s or time.monotonic() - started_s
            texts.append(event['choices'][0]['text'])
    return PromptResult(
        ttft_s, time.monotonic() - started_s, ran_on, ''.join(texts)
    )


async def run_prompts(fleet: fleets.Fleet) -> bool:
    """Sends the prompts and prints the responses.

    Returns:
        Whether every response has the expected text.
    """
    is_correct = True
    prompts = make_prompts(fleet.options.deployment.name)
    for vm, prompt in enumerate(prompts):
        result = await send_prompt(fleet, vm, prompt)
        expected = answers.answer(prompt.text.encode(), MAX_TOKENS)
        label = 'right' if result.text == expected else 'WRONG'
        is_correct = is_correct and result.text == expected
        click.echo(
            f'{prompt.title}: {prompt.tokens:,} tokens, first token after '
            f'{result.ttft_s:.3f} s, whole after {result.total_s:.3f} s, '
            f'on {result.ran_on}\n    {result.text}({label})'
        )
    return is_correct


async def run_repeated_call(fleet: fleets.Fleet) -> bool:
    """Sends one service call with the same ticket to two VMs.

    Returns:
        Whether the service ran the call exactly once.
    """
    deployment = fleet.options.deployment
    key = deployments.account_key(deployment.accounts[0])
    headers = {'Authorization': f'Bearer {key}'}
    async with fleet.session.post(
        fleet.vm_url(0) + '/v1/tickets', headers=headers
    ) as response:
        ticket = (await response.json())['ticket']
    headers['Idempotency-Key'] = ticket
    for vm in (1, 2):
        async with fleet.session.post(
            f'{fleet.vm_url(vm)}/v1/services/{deployment.service_route}/send',
            json={'number': 1},
            headers=headers,
        ) as response:
            response.raise_for_status()
    executions = 0
    for endpoint in fleet.endpoints('service'):
        counters = await fleet.counters(endpoint['url'])
        executions += counters.get(ticket, 0)
    click.echo(
        f'{deployment.service_route}: sent twice, ran {executions} time(s)'
    )
    return executions == 1


async def run(name: str) -> int:
    """Runs the demo; returns the exit status."""
    deployment = deployments.DEPLOYMENTS_BY_NAME[name]
    options = fleets.FleetOptions(
        deployment,
        RUN_DIRECTORY / name,
        base_port=FIRST_PORT_BY_DEPLOYMENT[name],
        time_scale=TIME_SCALE,
        settings={'telemetry': {'trace_share': 1.0}},
    )
    click.echo(
        f'{name}: {deployment.vms} entries, {deployment.engines} engines, '
        f'{deployment.services} services in {", ".join(deployment.zones)}'
    )
    async with fleets.Fleet(options) as fleet:
        is_correct = await run_prompts(fleet)
        is_correct = await run_repeated_call(fleet) and is_correct
    click.echo(f'logs and spans are in {options.directory}')
    return 0 if is_correct else 1


@click.command()
@click.option(
    '--deployment',
    type=click.Choice(sorted(deployments.DEPLOYMENTS_BY_NAME)),
    default='vakaloloma',
)
def main(deployment: str) -> None:
    """Runs the demo; exits with 0 if every response is as expected."""
    sys.exit(asyncio.run(run(deployment)))


if __name__ == '__main__':
    main()
