"""Steps that run a soak test."""

import os
import pathlib

from behave import then

from tests.soak import play

ROOT = pathlib.Path(__file__).resolve().parents[3]
# Below the range of ephemeral ports of the operating system. Runs of the tests
# at the same time on one machine have different sets of ports.
BASE_PORT = 31500 - 1000 * int(os.environ.get('GALENAQUAY_TEST_PORT_SET', '0'))


@then(
    'a soak test of {seconds:g} seconds with seed {seed:d} violates no '
    'guarantee'
)
def step_soak(context, seed, seconds):
    folder = ROOT / '.run' / 'soak' / str(seed)
    context.loop.run_until_complete(
        play.play(seed, seconds, folder, BASE_PORT)
    )
