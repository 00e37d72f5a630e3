"""Steps that run hypothesis state machines and properties."""

import importlib

from behave import then
from behave import when
from hypothesis import HealthCheck
from hypothesis import settings
from hypothesis import stateful

MACHINES_BY_NAME = {
    'ledger': ('tests.properties.ledger_machine', 'LedgerMachine'),
    'ticket': ('tests.properties.ticket_machine', 'TicketMachine'),
}


@when('the state machine "{name}" runs {times:d} times with {steps:d} steps')
def run_machine(context, name, times, steps):
    module_name, class_name = MACHINES_BY_NAME[name]
    machine = getattr(importlib.import_module(module_name), class_name)
    context.completed_machine = None
    stateful.run_state_machine_as_test(
        machine,
        settings=settings(
            max_examples=times,
            stateful_step_count=steps,
            deadline=None,
            derandomize=True,
            database=None,
            suppress_health_check=list(HealthCheck),
        ),
    )
    context.completed_machine = name


@then('every step kept the invariants')
def check_ran(context):
    # run_machine raises if an invariant is violated, so this step is reached
    # only if all hold.
    assert context.completed_machine is not None
