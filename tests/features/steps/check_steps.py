"""Steps for checks that need no running fleet."""

import pathlib
import tempfile

from behave import then
from click.testing import CliRunner
from galenaquay import codes
from galenaquay.configuration import documents
from galenaquay.configuration import selectors
from galenaquay.configuration import versions
from galenaquay import ids
from galenaquay.membership import ranks
from galenaquay import settings as settings_module
from galenaquay.streams import events
from galenaquay_standins import deployments
from galenaquayctl import main as ctl
from hypothesis import given as any_of
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
import orjson
import yaml

from tests import support

ROOT = pathlib.Path(__file__).resolve().parents[3]
EXAMPLES = hypothesis_settings(
    max_examples=100, deadline=None, derandomize=True, database=None
)
VALID_SETTINGS = {
    'vm_id': 'nadi-1',
    'zone': 'nadi',
    'region': 'viti-west',
    'callers': {'host': '127.0.0.1', 'port': 8080},
    'peers': {'host': '127.0.0.1', 'port': 8081},
    'platform': {'url': 'http://127.0.0.1:9000'},
}


@then('every case in case file "{name}" holds')
def check_cases(context, name):
    cases = support.read_cases(name)
    check = {'selectors': check_selector, 'settings': check_settings}[name]
    assert cases
    for case in cases:
        check(case)


def check_selector(case):
    try:
        selector = selectors.parse(case['selector'])
    except selectors.SelectorSyntaxError:
        assert case.get('error'), case
        return
    assert not case.get('error'), case
    assert selector.matches(case['labels']) is case['matches'], case
    assert bool(selector.unmet(case['labels'])) is not case['matches'], case


def check_settings(case):
    with tempfile.TemporaryDirectory() as directory:
        path = pathlib.Path(directory) / 'vm.yaml'
        path.write_text(yaml.safe_dump({**VALID_SETTINGS, **case['change']}))
        loaded = settings_module.load_settings(path)
    if not case['invalid_keys']:
        assert isinstance(loaded, settings_module.Settings), loaded
        return
    assert sorted(e.key for e in loaded) == sorted(case['invalid_keys']), (
        loaded
    )
    assert all(e.reason for e in loaded)


@then('docs/RESULT-CODES.md contains the table of the module codes')
def check_table(context):
    text = (ROOT / 'docs' / 'RESULT-CODES.md').read_text()
    assert '\n'.join(codes.table_lines()) in text


@then('the hundreds digit of every code matches the certainty in its row')
def check_rows(context):
    hundreds = {
        codes.Certainty.RUN: 0,
        codes.Certainty.NOT_RUN: 1,
        codes.Certainty.FAILED: 2,
        codes.Certainty.OUTCOME_UNKNOWN: 3,
    }
    assert set(codes.ROWS_BY_CODE) == set(codes.Code)
    for code, row in codes.ROWS_BY_CODE.items():
        assert row.code is code
        assert code // 100 == hundreds[row.certainty], code


NAMES = st.lists(
    st.text('abcdef', min_size=1, max_size=4),
    min_size=2,
    max_size=12,
    unique=True,
)


@then('for any list of VMs the removal of a VM moves only its own roles')
def check_ranks(context):
    @EXAMPLES
    @any_of(NAMES, st.integers(0, 11), st.integers(0, 10**6))
    def check(names, number, role):
        vms = [ids.VmId(n) for n in names]
        leaving_vm = vms[number % len(vms)]
        before = ranks.rank_vms(str(role), vms)
        after = ranks.rank_vms(str(role), [v for v in vms if v != leaving_vm])
        assert [v for v in before if v != leaving_vm] == list(after)
        assert ranks.rank_vms(str(role), reversed(vms)) == before

    check()


@then('for any order of documents the version in force never decreases')
def check_versions(context):
    base = deployments.config(deployments.VAKALOLOMA, deployments.Ports(21000))

    @EXAMPLES
    @any_of(
        st.lists(
            st.tuples(st.integers(1, 6), st.integers(0, 2), st.booleans()),
            max_size=12,
        )
    )
    def check(documents_offered):
        in_force = versions.DocumentInForce(documents.Document)
        highest = 0
        for version, variant, is_valid in documents_offered:
            body = {**base, 'version': version}
            body['serving'] = f'variant!={variant}'
            if not is_valid:
                body['pools'] = []
            before = in_force.document
            verdict, reason = in_force.offer(orjson.dumps(body))
            assert in_force.version >= highest
            highest = in_force.version
            if verdict is versions.Verdict.REFUSED:
                assert reason and in_force.document is before
            if verdict is versions.Verdict.ACCEPTED:
                assert is_valid and in_force.version == version

    check()


def engine_events(request_id, attempt, tokens):
    parts = []
    for offset in range(tokens):
        data = orjson.dumps({'choices': [{'text': f'{offset} '}]})
        parts.append(
            f'id: {request_id}/{attempt}/{offset}/1\n'.encode()
            + b'data: '
            + data
            + b'\n\n'
        )
    parts.append(
        f'id: {request_id}/{attempt}/{tokens}/0\n'.encode()
        + b'data: {"choices": [{"text": ""}]}\n\n'
    )
    return b''.join(parts)


@then('for any chunking of a response the caller receives the same text')
def check_chunking(context):
    @EXAMPLES
    @any_of(st.integers(0, 20), st.lists(st.integers(1, 40), max_size=60))
    def check(tokens, sizes):
        data = engine_events('r', 1, tokens)
        splitter = events.EventSplitter(ids.RequestId('r'), 1, 0)
        received, counted, is_last = b'', 0, False
        position = 0
        for size in [*sizes, len(data)]:
            piece = data[position : position + size]
            position += size
            chunk = splitter.feed(piece) if piece else None
            assert not isinstance(chunk, codes.Failure), chunk
            if chunk is not None:
                received += chunk.data
                counted += chunk.tokens
                is_last = chunk.is_last
        assert b'id: ' not in received and counted == tokens and is_last
        assert events.extract_text(received) == ''.join(
            f'{i} ' for i in range(tokens)
        )

    check()


@then('an event of another request, attempt or offset is refused')
def check_foreign_events(context):
    for request_id, attempt, offset in (('x', 1, 0), ('r', 2, 0), ('r', 1, 1)):
        splitter = events.EventSplitter(ids.RequestId('r'), 1, offset)
        chunk = splitter.feed(engine_events(request_id, attempt, 1))
        assert isinstance(chunk, codes.Failure), chunk


def run_ctl(*arguments, text=None):
    result = CliRunner().invoke(ctl.main, arguments, input=text)
    return result.exit_code, result.output


@then('"config schema" prints the schema of the configuration')
def check_schema(context):
    status, output = run_ctl('config', 'schema')
    assert status == 0
    assert 'endpoints' in orjson.loads(output)['properties']


def write_config(directory, name, edit):
    body = deployments.config(deployments.VAKALOLOMA, deployments.Ports(21000))
    edit(body)
    path = pathlib.Path(directory) / name
    path.write_text(yaml.safe_dump(body))
    return str(path)


@then('"config check" refuses a document whose routes name a missing pool')
def check_config_check(context):
    with tempfile.TemporaryDirectory() as directory:
        valid = write_config(directory, 'valid', lambda body: None)
        invalid = write_config(
            directory, 'invalid', lambda body: body['pools'].pop()
        )
        assert run_ctl('config', 'check', valid)[0] == 0
        status, output = run_ctl('config', 'check', invalid)
        assert status == 2 and 'no pool records' in output, output
        status, output = run_ctl('config', 'check', valid, '--in-force', valid)
        assert status == 1 and 'same' in output, output


@then('"config diff" shows which route loses an endpoint')
def check_config_diff(context):
    def withdraw(body):
        body['version'] = 2
        body['zones'][0]['labels'] = {'state': 'withdrawn'}

    with tempfile.TemporaryDirectory() as directory:
        old = write_config(directory, 'old', lambda body: None)
        new = write_config(directory, 'new', withdraw)
        assert run_ctl('config', 'diff', old, old)[0] == 0
        status, output = run_ctl('config', 'diff', old, new)
        assert status == 1
        assert 'route question: gains none; loses lautoka-e1' in output
