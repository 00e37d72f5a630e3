"""Steps that run a soak test."""

import pathlib

from behave import then

from tests.soak import play

ROOT = pathlib.Path(__file__).resolve().parents[3]
# Below the range of ephemeral ports of the operating system.
BASE_PORT = 31500


@then(
    'a soak test of {seconds:g} seconds with seed {seed:d} violates no '
    'guarantee'
)
def step_soak(context, seed, seconds):
    folder = ROOT / '.run' / 'soak' / str(seed)
    context.loop.run_until_complete(
        play.play(seed, seconds, folder, BASE_PORT)
    )
