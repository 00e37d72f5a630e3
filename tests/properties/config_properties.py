"""Properties of the check of a configuration."""

import copy
import json
import pathlib
import random
import tempfile

from click import testing
from galenaquay.configuration import current as current_module
from galenaquay.configuration import documents
from galenaquay.configuration import freshness
from galenaquay.configuration import mirror
from galenaquay.configuration import versions
from galenaquay.engines import directory
from galenaquay_platform import documents as platform_documents
from galenaquay_platform import feeds
from galenaquay_standins import deployments
from galenaquayctl import main as ctl
from hypothesis import given
from hypothesis import strategies as st

from tests import platform_support
from tests.properties import path_properties

RUNS = path_properties.RUNS
STATUS_INVALID = 2
ODD_VALUES = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(-(2**63), 2**63),
    st.floats(allow_nan=False, allow_infinity=False),
    st.text(max_size=5),
    st.sampled_from(['idempotent', 'streaming', '/once/', 'nan', '7']),
    st.just([]),
    st.just({}),
    st.just([[]]),
    st.just([{}]),
)
# Each number chooses a field on the way to a value, which is then removed or
# replaced.
EDITS = st.lists(
    st.tuples(
        st.lists(st.integers(0, 30), min_size=1, max_size=5),
        st.one_of(st.just('remove'), st.tuples(ODD_VALUES)),
    ),
    max_size=3,
)


def apply_edit(body, numbers, edit):
    """Removes or replaces one value within a document."""
    parent, key = None, None
    value = body
    for number in numbers:
        if not isinstance(value, dict | list) or not value:
            break
        keys = list(value) if isinstance(value, dict) else range(len(value))
        parent, key = value, keys[number % len(keys)]
        value = parent[key]
    if parent is None:
        return
    if edit == 'remove':
        del parent[key]
    else:
        (parent[key],) = copy.deepcopy(edit)


def status_of_check(text):
    """Returns the exit status of the check, and the findings."""
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / 'next.json'
        path.write_text(text)
        result = testing.CliRunner().invoke(
            ctl.main, ['config', 'check', str(path), '--json']
        )
    assert result.exception is None or isinstance(
        result.exception, SystemExit
    ), result.exception
    return result.exit_code, json.loads(result.output)['findings']


def table_of_entry(text):
    """Returns the route table that an entry puts in force, or None."""
    current = current_module.RouteTableInForce(5.0, freshness.Freshness(3.0))
    feed = feeds.OperatorFeed(current, directory.Directory())
    key = platform_documents.CONFIG_KEY
    document = mirror.Document(key, text.encode(), 1)
    feed.apply_change(mirror.Change(key, 1, document))
    return current.table


def check_verdict(status, found, is_accepted):
    if status != STATUS_INVALID:
        assert is_accepted, found
    if not is_accepted:
        assert status == STATUS_INVALID, found
        assert any(f['severity'] == 'error' for f in found), found


@RUNS
@given(EDITS)
def check_checked_configuration(edits):
    """Entries accept what the check passes, and serve by it.

    Guards against a check that accepts a configuration which entries refuse,
    or with which every request of a route fails.
    """
    body = platform_support.configuration()
    body = json.loads(json.dumps(body))
    for numbers, edit in edits:
        apply_edit(body, numbers, edit)
    text = json.dumps(body)
    status, found = status_of_check(text)
    table = table_of_entry(text)
    check_verdict(status, found, table is not None)
    if status == STATUS_INVALID or table is None:
        return
    rng = random.Random(1)
    for host, group in table.routes_by_host.items():
        for route in group:
            table.find(host, '/x')
            table.services_by_name.get(route.pick_service(rng))


@RUNS
@given(EDITS)
def check_checked_document(edits):
    """Entries accept the documents of the own form that the check passes."""
    body = deployments.config(deployments.VAKALOLOMA, deployments.Ports(21000))
    body = json.loads(json.dumps(body))
    for numbers, edit in edits:
        apply_edit(body, numbers, edit)
    text = json.dumps(body)
    status, found = status_of_check(text)
    verdict, _ = versions.DocumentInForce(documents.Document).offer(
        text.encode()
    )
    check_verdict(status, found, verdict is versions.Verdict.ACCEPTED)
