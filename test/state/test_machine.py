"""The replicated state machine: resent commands, conflicts, releases, ledger and snapshots."""

from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from jackdawsail.state import commands as c
from jackdawsail.state.ledger import MAX_STORED_ANSWER_BYTES
from jackdawsail.state.machine import ControlState
from jackdawsail.state.replica import apply_changes
from jackdawsail.state.replies import Accepted, Conflict, Rejected
from jackdawsail.wire.claim_messages import (
    ClaimRequest,
    ClaimVerdict,
    SettleRequest,
    StoredAnswer,
)
from jackdawsail.wire.codec import encode

GOLDEN = Path(__file__).parent / 'golden'
DIGEST = 'ab' * 32
BASE = c.Apply(
    {
        'zone/attica-a': {'region': 'attica'},
        'zone/crete-a': {'region': 'crete'},
        'backend/quill': {
            'kind': 'engine',
            'max_switching_share': 0.5,
            'idempotent_methods': [],
        },
        'customer/label': {
            'weight': 1.0,
            'requests_per_second': 5.0,
            'max_concurrent': 4,
            'token_digest': DIGEST,
        },
    }
)


def envelope(body, request_id='r', expected=None, actor='ana', stamp=1.0):
    return encode(c.CommandEnvelope(request_id, actor, stamp, expected, encode(body)))


class Driver:
    """Applies commands with increasing request ids."""

    def __init__(self, state=None):
        self.state, self.index = state or ControlState(), 0

    def run(self, body, **options):
        self.index += 1
        options.setdefault('request_id', f'auto-{self.index}')
        return self.state.apply(self.index, envelope(body, **options))

    def status(self, name):
        return self.state.tables.records[f'release/{name}']['status']

    def target(self):
        backend = self.state.tables.records['backend/quill']
        return backend['release'], backend['previous']


@pytest.fixture
def driver():
    started = Driver()
    assert isinstance(started.run(BASE), Accepted)
    return started


def release(name, digests=('cd' * 32,) * 2):
    return c.ReleaseCreate(name, 'quill', f'/{name}', 2000, 1024, DIGEST, list(digests))


def claim(key='k', request_id='q', digest='d', entry='e1', incarnation=1):
    return ClaimRequest(request_id, 'label', key, digest, entry, incarnation)


def settle(number, outcome='done', key='k', request_id='q'):
    answer = StoredAnswer(200, 'text/plain', b'booked') if outcome == 'done' else None
    return SettleRequest(request_id, 'label', key, number, outcome, answer)


def ledger(driver, claims=(), settles=()):
    return driver.run(c.LedgerBatch(list(claims), list(settles)))


def test_second_change_at_the_same_revision_is_a_conflict(driver):
    first = driver.run(c.CustomerPut('ana-mix', weight=2.0), expected=1, actor='ana')
    second = driver.run(c.CustomerPut('ana-mix', weight=3.0), expected=1, actor='bo')
    assert first == Accepted(2, {})
    assert isinstance(second, Conflict)
    assert [(d['actor'], d['to_revision']) for d in second.differences] == [('ana', 2)]
    assert driver.state.tables.records['customer/ana-mix']['weight'] == 2.0


def test_resend_gets_its_first_answer_after_a_restart(driver):
    put = c.CustomerPut('studio')
    first = driver.run(put, request_id='one', expected=1)
    driver.run(c.CustomerPut('studio', weight=9.0))
    restarted = ControlState()
    restarted.restore(driver.state.snapshot())
    again = Driver(restarted).run(put, request_id='one', expected=1, stamp=99.0)
    assert again == first == Accepted(2, {})
    assert restarted.tables.records['customer/studio']['weight'] == 9.0
    other = Driver(restarted).run(c.CustomerPut('x'), request_id='one', expected=1)
    assert isinstance(other, Rejected)
    assert other.code == 'request-id-reused'


def test_rejected_command_changes_nothing(driver):
    before = driver.state.snapshot()
    assert isinstance(driver.run(c.SitePut('s', 'nowhere', []), request_id='x'), Rejected)
    driver.state.tables.answers.pop('ana/x')
    assert driver.state.snapshot() == before


def test_releases_started_together_are_ordered(driver):
    for name in ('r1', 'r2', 'r3'):
        driver.run(release(name))
        driver.run(c.ReleaseStart(name))
    assert [driver.status(n) for n in ('r1', 'r2', 'r3')] == ['running', 'queued', 'queued']
    driver.run(c.ReleaseFinish('r1', 'done'))
    assert driver.target() == ('r2', 'r1')
    driver.run(c.ReleasePause('r2'))
    assert driver.status('r3') == 'queued'
    driver.run(c.ReleaseAbort('r2', 'bad notes'))
    assert [driver.status(n) for n in ('r1', 'r2', 'r3')] == ['done', 'aborted', 'running']
    assert driver.target() == ('r3', 'r1')
    driver.run(c.ReleaseFinish('r3', 'failed', 'digest differs'))
    assert driver.target() == ('r1', '')


def test_done_release_can_be_rolled_back(driver):
    for name in ('r1', 'r2'):
        driver.run(release(name))
        driver.run(c.ReleaseStart(name))
        driver.run(c.ReleaseFinish(name, 'done'))
    assert driver.target() == ('r2', 'r1')
    assert isinstance(driver.run(c.ReleaseAbort('r2')), Accepted)
    assert driver.target() == ('r1', '')
    assert driver.run(c.ReleaseAbort('r1')).code == 'state'


def test_manifest_is_accepted_once_and_only_for_the_declared_content(driver):
    driver.run(release('late', digests=()))
    wrong = driver.run(c.ReleaseManifest('late', 1024, 'ff' * 32, ['ee' * 32] * 2))
    assert wrong.code == 'invalid'
    assert isinstance(
        driver.run(c.ReleaseManifest('late', 1024, DIGEST, ['ee' * 32] * 2)), Accepted
    )
    again = driver.run(c.ReleaseManifest('late', 1024, DIGEST, ['aa' * 32] * 2))
    assert again.code == 'exists'
    assert driver.state.tables.records['release/late']['chunk_digests'] == ['ee' * 32] * 2


def test_last_zone_needs_force(driver):
    assert isinstance(driver.run(c.ZoneOut('attica-a')), Accepted)
    assert driver.run(c.ZoneOut('crete-a')).code == 'last-zone'
    assert isinstance(driver.run(c.ZoneOut('crete-a', force=True)), Accepted)
    assert isinstance(driver.run(c.ZoneIn('crete-a')), Accepted)


def test_apply_keeps_what_operations_set(driver):
    driver.run(release('r1'))
    driver.run(c.ReleaseStart('r1'))
    driver.run(c.ZoneOut('attica-a'))
    driver.run(c.CustomerPut('extra'))
    assert isinstance(driver.run(c.Apply(BASE.records, prune=True)), Accepted)
    records = driver.state.tables.records
    assert records['zone/attica-a']['mode'] == 'out'
    assert driver.target() == ('r1', '')
    assert 'customer/extra' not in records


def test_ledger_grants_a_key_once(driver):
    granted = ledger(driver, [claim()]).claims[0]
    assert granted.verdict is ClaimVerdict.granted
    assert ledger(driver, [claim()]).claims[0] == granted
    verdicts = ledger(
        driver,
        [claim(request_id='q2'), claim(digest='other'), claim(entry='e2'), claim(incarnation=2)],
    ).claims
    assert [v.verdict for v in verdicts] == ['running', 'mismatch', 'running', 'running']
    number = granted.claim_number
    assert not ledger(driver, settles=[settle(number + 5)]).settles[0].accepted
    assert ledger(driver, settles=[settle(number), settle(number)]).settles[1].accepted
    stored = ledger(driver, [claim(request_id='q3')]).claims[0]
    assert stored.verdict is ClaimVerdict.settled
    assert stored.answer.body == b'booked'


def test_lost_entry_leaves_unknown_and_a_late_settlement_counts(driver):
    number = ledger(driver, [claim()]).claims[0].claim_number
    driver.run(c.LedgerEntryLost('e1', 2))
    assert ledger(driver, [claim(request_id='z')]).claims[0].verdict is ClaimVerdict.running
    driver.run(c.LedgerEntryLost('e1', 1))
    assert ledger(driver, [claim(request_id='z')]).claims[0].verdict is ClaimVerdict.unknown
    assert ledger(driver, settles=[settle(number, 'not-run')]).settles[0].accepted
    assert ledger(driver, [claim(request_id='z')]).claims[0].verdict is ClaimVerdict.granted


def test_state_does_not_depend_on_the_stamp():
    """Guards against decisions on a wall clock, which may jump by years in either direction."""
    snapshots = []
    for stamps in ([1.0, 2.0, 3.0, 4.0], [4e9, -4e9, 0.0, 4e9]):
        driver = Driver()
        bodies = [BASE, release('r1'), c.ReleaseStart('r1'), c.LedgerBatch([claim()], [])]
        for body, stamp in zip(bodies, stamps, strict=True):
            driver.run(body, stamp=stamp)
        assert ledger(driver, settles=[settle(1)]).settles[0].accepted
        assert ledger(driver, [claim(request_id='z')]).claims[0].verdict is ClaimVerdict.settled
        driver.state.tables.audit.encoded.clear()
        snapshots.append(driver.state.snapshot())
    assert snapshots[0] == snapshots[1]


def test_retention_is_bounded_per_customer(driver, monkeypatch):
    monkeypatch.setattr('jackdawsail.state.ledger.MAX_SETTLED_PER_CUSTOMER', 3)
    monkeypatch.setattr('jackdawsail.state.ledger.MIN_SETTLED_PER_CUSTOMER', 1)
    for turn in range(6):
        number = ledger(driver, [claim(key=f'k{turn}')]).claims[0].claim_number
        ledger(driver, settles=[settle(number, key=f'k{turn}')])
    assert list(driver.state.tables.ledger.settled['label']) == ['k3', 'k4', 'k5']


def test_repeated_claim_after_a_too_large_answer_is_unknown(driver):
    ledger(driver, [claim()])
    answer = StoredAnswer(200, 'text/plain', b'x' * (MAX_STORED_ANSWER_BYTES + 1))
    ledger(driver, settles=[SettleRequest('q', 'label', 'k', 1, 'done', answer)])
    assert ledger(driver, [claim(request_id='z')]).claims[0].verdict is ClaimVerdict.unknown


@pytest.mark.parametrize('version', [1, 2, 3])
def test_old_snapshot_still_loads(version):
    state = ControlState()
    state.restore((GOLDEN / f'snapshot-{version}.cbor').read_bytes())
    assert state.tables.revision == 4
    assert state.tables.records['backend/quill']['release'] == 'r1'
    driver = Driver(state)
    assert ledger(driver, [claim(request_id='z')]).claims[0].verdict is ClaimVerdict.settled
    assert [record['kind'] for record in state.tables.audit.last(2)] == [
        'release-start',
        'operator-put',
    ]


def test_newer_snapshot_is_refused():
    import cbor2

    with pytest.raises(AssertionError, match='newer'):
        ControlState().restore(cbor2.dumps({'version': 99}))


NAMES = st.sampled_from(['r1', 'r2', 'r3'])
BODIES = st.one_of(
    NAMES.map(release),
    NAMES.map(c.ReleaseStart),
    NAMES.map(c.ReleasePause),
    NAMES.map(c.ReleaseResume),
    NAMES.map(c.ReleaseAbort),
    st.builds(c.ReleaseFinish, NAMES, st.sampled_from(['done', 'failed'])),
    st.sampled_from(['attica-a', 'crete-a']).map(c.ZoneOut),
    st.sampled_from(['attica-a', 'crete-a']).map(c.ZoneIn),
    st.builds(c.Apply, st.just(BASE.records), st.booleans()),
    st.sampled_from(['a', 'b']).map(lambda key: c.LedgerBatch([claim(key=key)], [])),
    st.integers(1, 3).map(lambda number: c.LedgerBatch([], [settle(number)])),
    st.integers(1, 2).map(lambda incarnation: c.LedgerEntryLost('e1', incarnation)),
)


@settings(max_examples=120, derandomize=True, deadline=None)
@given(st.lists(st.tuples(BODIES, st.integers(0, 15)), max_size=40), st.integers(0, 40))
def test_voters_agree_and_releases_stay_ordered(steps, restart_at):
    """Any order of commands, with resent ones and a restart from a snapshot in between."""
    first, second, replicated = Driver(), Driver(), {}
    first.state.add_listeners(
        lambda _revision, changes: apply_changes(replicated, changes), lambda: None
    )
    for index, (body, request) in enumerate([(BASE, 99), *steps]):
        if index == restart_at:
            restored = ControlState()
            restored.restore(second.state.snapshot())
            second.state = restored
        replies = [d.run(body, request_id=f'q{request}') for d in (first, second)]
        assert replies[0] == replies[1]
        running = [
            record
            for key, record in first.state.tables.records.items()
            if key.startswith('release/') and record['status'] in ('running', 'paused')
        ]
        assert len(running) <= 1
    assert first.state.snapshot() == second.state.snapshot()
    assert replicated == first.state.tables.records


def test_customers_share_the_ledger_evenly(driver, monkeypatch):
    monkeypatch.setattr('jackdawsail.state.ledger.MAX_SETTLED', 200)
    for customer in ('a', 'b', 'c', 'd'):
        for turn in range(150):
            request = ClaimRequest('q', customer, f'k{turn}', 'd', 'e1', 1)
            number = ledger(driver, [request]).claims[0].claim_number
            answer = StoredAnswer(200, 'text/plain', b'ok')
            done = SettleRequest('q', customer, f'k{turn}', number, 'done', answer)
            ledger(driver, settles=[done])
    kept = {name: len(calls) for name, calls in driver.state.tables.ledger.settled.items()}
    assert kept == {'a': 50, 'b': 50, 'c': 50, 'd': 50}
