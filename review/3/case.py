"""A part of some prompts crashes engines; another engine crashes before.

All prompts of a route begin with the same part. After two crashes by the
deadly part, sound prompts of the route must still reach engines.
"""

import asyncio
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standins  # noqa: E402

ENGINES = 8
MACHINES = 2
DEADLINE_MS = 15000
PIECES = 17
# Time from a request to its first piece, and between two pieces.
PIECE_PAUSE_MS = 60
# The same for the request whose engine crashes by itself.
SLOW_PAUSE_MS = 600
COMMON_PART = '5c1e07a2'
DEADLY_PART = 'e4402b7d'
SOUND_PART = '91bd3f06'
# Sound requests before the crashes, and from SETTLE_S after them, at the rate
# of the long prompts on the sheet, 0.76 a second.
SOUND_REQUESTS = 24
INTERVAL_S = 1.3
# Two times `stableWindowMs`, and some more.
SETTLE_S = 7.0
# Each so many sound requests, a deadly one comes.
DEADLY_EACH = 8
# Time after which an engine that has crashed is back.
BACK_S = 3.0


class Request:
    """One request, at one of the machines in turn."""

    count = 0

    def __init__(self, part, pause_ms=PIECE_PAUSE_MS):
        self.attempt = standins.new_attempt()
        self.part = part
        self.pause_ms = pause_ms
        self.machine = Request.count % MACHINES
        Request.count += 1
        self.answer = standins.Answer()

    async def run(self, world):
        reader, writer = await standins.open_channel(
            world.front_addresses[self.machine]
        )
        parts = f'{COMMON_PART}:40,{self.part}:800,{self.attempt}:620'
        writer.write(
            standins.request_bytes(
                'POST',
                f'/once-draft/chunked/{PIECES}/{self.pause_ms}',
                DEADLINE_MS,
                self.attempt,
                b'{"prompt":"..."}',
                **{
                    'X-Model': 'm',
                    'X-Token-Counts': '1460,782',
                    'X-Prompt-Prefix': parts,
                },
            )
        )
        await standins.read_answer(reader, self.answer)
        writer.transport.abort()
        world.note(
            f'{self.attempt} with {self.part} at machine {self.machine}: '
            f'{self.answer.text()} {self.answer.body[:40]!r}'
        )


async def restart_crashed(world):
    """Has each engine that has crashed come back after BACK_S."""

    async def bring_back(engine):
        world.note(f'engine {engine.id} has crashed')
        asyncio.get_running_loop().call_later(
            3 * standins.HEARTBEAT_S,
            world.store.remove,
            f'servers/{engine.id}',
        )
        await asyncio.sleep(BACK_S)
        await engine.start()

    tasks = {}
    while True:
        for engine in world.engines:
            ended = engine.process.returncode is not None
            if ended and (engine.name not in tasks or tasks[engine.name].done()):
                tasks[engine.name] = asyncio.ensure_future(bring_back(engine))
        await asyncio.sleep(0.02)


async def send_sound(world, with_deadly):
    """Sends SOUND_REQUESTS; returns those that began at an engine."""
    running = []
    sound = []
    for number in range(SOUND_REQUESTS):
        request = Request(SOUND_PART)
        sound.append(request)
        running.append(asyncio.ensure_future(request.run(world)))
        if with_deadly and number % DEADLY_EACH == 1:
            running.append(
                asyncio.ensure_future(Request(DEADLY_PART).run(world))
            )
        await asyncio.sleep(INTERVAL_S)
    await asyncio.wait(running)
    began = {e['attempt'] for e in world.runs() if e['what'] == 'run'}
    return [request for request in sound if request.attempt in began]


async def crash(world):
    """Crashes one engine by itself and two by deadly prompts, in turn."""
    slow = Request(SOUND_PART, SLOW_PAUSE_MS)
    running = asyncio.ensure_future(slow.run(world))
    await asyncio.sleep(0.3)
    engine_id = next(
        e['engine'] for e in world.runs() if e['attempt'] == slow.attempt
    )
    engine = next(e for e in world.engines if e.id == engine_id)
    engine.process.send_signal(signal.SIGUSR1)
    await running
    for _ in range(2):
        await asyncio.sleep(0.2)
        await Request(DEADLY_PART).run(world)


async def case(world, has_trouble):
    options = ['--deadly-part', DEADLY_PART]
    await world.start(
        machines=MACHINES, pool=ENGINES, app=1, engine_options=options
    )
    before = await send_sound(world, False)
    world.note(f'{len(before)} of {SOUND_REQUESTS} sound requests began')
    if len(before) < SOUND_REQUESTS:
        raise standins.CannotRun('sound requests were refused in calm')
    await asyncio.sleep(1.0)
    restarting = asyncio.ensure_future(restart_crashed(world))
    if has_trouble:
        await crash(world)
    await asyncio.sleep(SETTLE_S)
    after = await send_sound(world, has_trouble)
    restarting.cancel()
    world.note(f'{len(after)} of {SOUND_REQUESTS} sound requests began')
    for index in range(MACHINES):
        for line in world.machine_log(index).splitlines():
            if 'blamed' in line and 'quarantined' not in line:
                world.note(line)
    if len(after) * 2 >= len(before):
        return []
    return [
        f'LOST {len(after)} of {SOUND_REQUESTS} sound requests began at an '
        f'engine, {len(before)} of {SOUND_REQUESTS} before the crashes'
    ]


standins.run_case(FOLDER, case)
