"""Steps for account limits, with fake peers and a fake clock."""

from behave import then
from galenaquay.limits import accounts
from hypothesis import given as any_of
from hypothesis import settings as hypothesis_settings

from tests.properties import account_property


@then(
    'a single entry process spends at least {part:g} of the rate over '
    '{seconds:d} seconds'
)
def check_single_minimum(context, part, seconds):
    context.seconds = seconds
    context.share = account_property.run(
        account_property.share_of_one_entry(seconds)
    )
    assert context.share >= part, context.share


@then('the entry process spends no more than the rate plus the burst')
def check_single_maximum(context):
    burst_share = accounts.BURST_S / context.seconds
    assert context.share <= 1 + burst_share, context.share


@then(
    'isolated entry processes together spend at most the rate plus the burst '
    'over {seconds:d} seconds'
)
def check_isolated(context, seconds):
    share = account_property.run(account_property.flood_cut_off(seconds))
    burst_share = accounts.BURST_S / seconds
    assert 0 < share <= 1 + burst_share, share


@then(
    'entry processes with two VM list versions spend at most the rate plus '
    'the burst over {seconds:d} seconds'
)
def check_two_lists(context, seconds):
    burst_share = accounts.BURST_S / seconds
    for cut in ((), (4,), (0, 1, 2)):
        share = account_property.run(
            account_property.flood_two_lists(seconds, cut)
        )
        assert 0 < share <= 1 + burst_share, (cut, share)


@then('for any actions all entry processes together keep to the rate')
def check_any_actions(context):
    @hypothesis_settings(
        max_examples=200, deadline=None, derandomize=True, database=None
    )
    @any_of(account_property.ACTIONS)
    def check(actions):
        account_property.run(account_property.run_actions(actions))

    check()
