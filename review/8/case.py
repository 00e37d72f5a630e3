"""A first part that no engine has answered yet is blamed for crashes."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import lab2  # noqa: E402

# First parts of the prompts before and after the callers' change, and the part
# that crashes engines.
OLD, NEW, DEADLY = 'a0a0', 'b0b0', 'dead'
# Numbers of sound prompts before and after the crashes. With three deadly
# prompts, a share of 0.03 has the deadly part.
BEFORE, AFTER = 75, 26
# Smallest number of prompts of each kind that the rule judges.
LEAST = 20
# Time between two prompts before and after the crashes, in seconds.
BEFORE_GAP_S, GAP_S = 0.27, 0.8
# Time from the head of an answer to its first event, in ms.
FIRST_MS = 400
# Time for which a crashed engine is away, in seconds.
AWAY_S = 3.0
# `2 x stableWindowMs`.
AFTER_CRASH_S = 6.0
KEY = 'n2ctnfzs989anu6wsjnb'


class Callers:
    """Sends prompts of one client account, to both machines in turn."""

    def __init__(self, lab):
        self.lab = lab
        self.count = 0
        self.tasks = []

    def send(self, name, parts):
        self.count += 1
        entry = self.lab.entries[self.count % len(self.lab.entries)]
        request_id = f'{name}-{self.count}'
        chain = ','.join(f'{part}:40' for part in parts)
        headers = [
            ('Authorization', f'Bearer {KEY}'),
            ('X-Model', 'm'),
            ('X-Token-Counts', '1460,80'),
            ('X-Prompt-Prefix', f'{chain},{self.count + 4096:x}:1380'),
        ]
        body = f'prompt {self.count}'.encode()
        self.tasks.append(
            asyncio.create_task(
                lab2.ask(
                    self.lab,
                    entry,
                    request_id,
                    'POST',
                    '/stream/x',
                    10000,
                    headers,
                    body,
                )
            )
        )
        return request_id


async def keep(lab, engine):
    """Starts an engine again, under its id, whenever it has crashed."""
    while True:
        await engine.process.wait()
        lab.record(f'engine {engine.id}: ended')
        await asyncio.sleep(AWAY_S)
        await engine.start()


def begun(lab, request_ids):
    begins = {e['id'] for e in lab.events if e['event'] == 'begins'}
    return len(begins.intersection(request_ids))


async def case(lab, has_trouble):
    options = ['events=5', 'gap_ms=50', f'first_ms={FIRST_MS}']
    options += [f'deadly={DEADLY}']
    await lab.start(
        2,
        [(f'i-llm{n}', 'llm', options) for n in range(1, 9)],
        lab2.configuration(
            routes=[
                lab2.route(
                    'r-stream',
                    '/stream/',
                    'streaming',
                    'llm',
                    attempts=1,
                    sticky=True,
                    resumable=False,
                    gapAimMs=500,
                )
            ],
            services=[lab2.model_service('llm')],
            tenants=[{'name': 'hule930', 'apiKeys': [KEY], 'priority': 1}],
        ),
    )
    keepers = [
        asyncio.create_task(keep(lab, engine)) for engine in lab.engines
    ]
    await asyncio.sleep(3.5)
    callers = Callers(lab)
    before = []
    for _ in range(BEFORE):
        before.append(callers.send('old', [OLD]))
        await asyncio.sleep(BEFORE_GAP_S)
    # The callers change the first part of their prompts. The engine of the
    # first such prompt crashes by itself.
    first = callers.send('first', [NEW])
    await asyncio.sleep(FIRST_MS / 2000)
    if has_trouble:
        run = next(
            e for e in lab.events if e['event'] == 'runs' and e['id'] == first
        )
        engine = next(e for e in lab.engines if e.id == run['engine'])
        await engine.kill()
        for _ in range(2):
            await asyncio.sleep(GAP_S)
            callers.send('deadly', [NEW, DEADLY])
    await asyncio.sleep(FIRST_MS / 1000 + AFTER_CRASH_S + 0.2)
    after = []
    for _ in range(AFTER):
        after.append(callers.send('new', [NEW]))
        await asyncio.sleep(GAP_S)
    # The rule holds while prompts with the deadly part still come.
    if has_trouble:
        callers.send('deadly', [NEW, DEADLY])
    await asyncio.wait(callers.tasks)
    for keeper in keepers:
        keeper.cancel()
    crashes = sum(e['event'] == 'crashes' for e in lab.events)
    lab.record(f'judge: {crashes} crashes by the deadly part')
    had, has = begun(lab, before), begun(lab, after)
    lab.record(
        f'judge: {had} of {BEFORE} begin before, {has} of {AFTER} after'
    )
    lab.log_lines('blamed', 'trial of')
    if had < LEAST:
        raise lab2.CannotRun('too few prompts begin before the crashes')
    return 2 * has * len(before) < had * len(after)


lab2.main(FOLDER, case)
