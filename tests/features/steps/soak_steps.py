"""Steps that play a soak."""

import pathlib

from behave import then

from tests.soak import play

ROOT = pathlib.Path(__file__).resolve().parents[3]
# Below the ports that the system hands out by itself.
BASE_PORT = 31500


@then('a soak with seed {seed:d} of {seconds:g} seconds keeps every promise')
def step_soak(context, seed, seconds):
    folder = ROOT / '.run' / 'soak' / str(seed)
    context.loop.run_until_complete(
        play.play(seed, seconds, folder, BASE_PORT)
    )
