"""Single rules of the protocol that random fault schedules rarely reach."""

import random

from jackdawsail.consensus.configuration import Configuration
from jackdawsail.consensus.core import Role, Timing
from jackdawsail.consensus.effects import Refused, Send
from jackdawsail.consensus.log import Entry, EntryKind, Snapshot
from jackdawsail.consensus.membership import MemberChange
from jackdawsail.consensus.messages import (
    AppendReply,
    PreVote,
    PreVoteReply,
    SnapshotPiece,
    SnapshotReply,
    Vote,
    VoteReply,
)
from jackdawsail.consensus.node import (
    ChangeMembers,
    DurableState,
    Propose,
    SnapshotTaken,
    Tick,
    make_node,
)
from test.consensus.cluster import Cluster

VOTERS = ('a@1', 'b@1', 'c@1')
OLD_TERM = 2


def make_leader():
    """Makes a leader of term 4 with an entry of an earlier term before its own no-op."""
    configuration = Configuration(VOTERS, (), 3).encode()
    entries = (
        Entry(1, 1, EntryKind.configuration, configuration),
        Entry(2, OLD_TERM, EntryKind.command, b'x'),
    )
    durable = DurableState(term=3, entries=entries)
    node = make_node('a@1', Timing(), random.Random(1), durable, now_seconds=0)
    node.step(Tick(), 3)
    node.step(PreVoteReply('b@1', 'a@1', 4, granted=True), 3)
    node.step(VoteReply('b@1', 'a@1', 4, granted=True), 3)
    assert node.core.role is Role.leader
    return node


def appended(match_index, sent_seconds, sender='b@1'):
    return AppendReply(sender, 'a@1', 4, True, match_index, 0, 0, sent_seconds)


def test_entry_of_an_earlier_term_does_not_commit_by_counting():
    node = make_leader()
    node.step(appended(2, 3), 3.1)
    assert node.core.commit_index == 0
    assert not node.is_leader(3.1), 'its commit index may be behind that of earlier leaders'
    node.step(appended(3, 3), 3.1)
    assert node.core.commit_index == 3
    assert node.is_leader(3.1)


def test_lease_counts_from_when_the_acknowledged_append_was_sent():
    node = make_leader()
    node.step(appended(3, sent_seconds=3), now_seconds=3.7)
    assert node.is_leader(3.7)
    assert not node.is_leader(3.01 + Timing().lease_seconds)


def test_restarted_voter_supports_a_leader_that_it_may_have_acknowledged():
    durable = DurableState(term=3, entries=make_leader().core.log.between(0, 2))
    node = make_node('b@1', Timing(), random.Random(1), durable, now_seconds=50)
    request = PreVote('c@1', 'b@1', 4, 9, 3)
    early, late = node.step(request, 50.9), node.step(request, 51.1)
    assert [effect.message.granted for effect in (*early, *late) if isinstance(effect, Send)] == [
        False,
        True,
    ]


def test_only_one_candidate_gets_the_vote_of_a_term():
    durable = DurableState(term=3, entries=make_leader().core.log.between(0, 2))
    node = make_node('b@1', Timing(), random.Random(1), durable, now_seconds=50)
    granted = []
    for candidate in ('a@1', 'c@1', 'a@1'):
        effects = node.step(Vote(candidate, 'b@1', 4, 9, 3, transfer=False), 60)
        granted += [effect.message.granted for effect in effects if isinstance(effect, Send)]
    assert granted == [True, False, True]


def test_candidate_that_may_lack_committed_entries_gets_no_vote():
    durable = DurableState(term=3, entries=make_leader().core.log.between(0, 2))
    node = make_node('b@1', Timing(), random.Random(1), durable, now_seconds=50)
    granted = []
    for last_index, last_term in ((1, OLD_TERM), (9, OLD_TERM - 1), (2, OLD_TERM)):
        effects = node.step(Vote('a@1', 'b@1', 4, last_index, last_term, transfer=False), 60)
        granted += [effect.message.granted for effect in effects if isinstance(effect, Send)]
    assert granted == [False, False, True]


def test_restarted_voter_keeps_the_vote_that_it_has_given():
    entries = make_leader().core.log.between(0, 2)
    durable = DurableState(term=4, voted_for='a@1', entries=entries)
    node = make_node('b@1', Timing(), random.Random(1), durable, now_seconds=50)
    effects = node.step(Vote('c@1', 'b@1', 4, 9, 3, transfer=False), 60)
    assert [effect.message.granted for effect in effects if isinstance(effect, Send)] == [False]


def test_entries_in_flight_to_a_member_are_bounded():
    node = make_leader()
    node.step(appended(3, 3), 3.1)
    bodies = tuple(bytes(200_000) for _ in range(8))
    node.step(Propose(tuple(range(8)), bodies), 3.2)
    effects = [effect for at in (3.42, 3.64, 3.86) for effect in node.step(Tick(), at)]
    sent = [effect.message for effect in effects if isinstance(effect, Send)]
    to_b = [append.entries for append in sent if append.target == 'b@1']
    assert [len(entries) for entries in to_b] == [1, 1, 0]
    more = node.step(appended(4, 3.86), 3.9)
    assert [len(effect.message.entries) for effect in more if isinstance(effect, Send)] == [1]


def test_second_change_waits_for_the_first_to_commit():
    node = make_leader()
    node.step(appended(3, 3), 3.1)
    first = node.step(ChangeMembers(1, MemberChange(target_voters=5)), 3.2)
    second = node.step(ChangeMembers(2, MemberChange(remove_host='c')), 3.2)
    assert not any(isinstance(effect, Refused) for effect in first)
    assert isinstance(second[0], Refused)


def run_until_stable(hosts, voters, seed=5):
    cluster = Cluster(seed, hosts, voters)
    cluster.run(6)
    return cluster


def test_isolated_leader_loses_its_lease_and_confirms_nothing():
    cluster = run_until_stable(3, 3)
    old = cluster.leader()
    cluster.isolate([old])
    before = list(cluster.acknowledged)
    cluster.propose(old)
    cluster.run(1.2)
    assert not cluster.members[old].host.is_leader()
    cluster.run(3)
    new = cluster.leader()
    assert new not in {'', old}
    assert cluster.acknowledged == before
    cluster.propose(new)
    cluster.run(1)
    assert len(cluster.acknowledged) == len(before) + 1
    assert cluster.settle()


def test_second_voter_may_be_lost_right_after_the_repair():
    cluster = run_until_stable(4, 3)
    first = next(name for name in cluster.voters() if name != cluster.leader())
    cluster.crash(first)
    while first in cluster.voters():
        cluster.run(0.1)
    cluster.crash(cluster.leader())
    cluster.run(5)
    cluster.propose(cluster.leader())
    cluster.run(1)
    assert len(cluster.acknowledged) == 1


def test_disk_swap_gives_a_new_identity_that_must_catch_up():
    cluster = run_until_stable(3, 3)
    cluster.propose(cluster.leader(), 30)
    cluster.run(1)
    replaced = next(name for name in cluster.voters() if name != cluster.leader())
    assert cluster.swap_disk(replaced)
    core = cluster.core(replaced)
    assert not core.is_voter
    cluster.run(5)
    voters = cluster.core(cluster.leader()).configuration.voters
    assert f'{replaced}@d1' in voters
    assert f'{replaced}@d0' not in voters
    assert cluster.core(replaced).commit_index == cluster.core(cluster.leader()).commit_index


def test_full_disk_stops_the_host_and_nothing_unsynced_is_acknowledged():
    cluster = run_until_stable(3, 3)
    old = cluster.leader()
    cluster.fill_disk(old, 0)
    cluster.propose(old, 3)
    assert 'No space left' in cluster.members[old].host.halt_reason
    assert not cluster.members[old].host.is_leader()
    cluster.run(4)
    cluster.propose(cluster.leader(), 2)
    cluster.run(1)
    assert len(cluster.acknowledged) == 2
    assert cluster.settle()
    cluster.check_acknowledged()


def make_leader_with_learner():
    """Makes a leader that wants a fourth voter and has a learner that it has not heard."""
    configuration = Configuration(VOTERS, ('d@1',), 5).encode()
    durable = DurableState(term=3, entries=(Entry(1, 1, EntryKind.configuration, configuration),))
    node = make_node('a@1', Timing(), random.Random(1), durable, now_seconds=0)
    node.step(Tick(), 3)
    node.step(PreVoteReply('b@1', 'a@1', 4, granted=True), 3)
    node.step(VoteReply('b@1', 'a@1', 4, granted=True), 3)
    node.step(appended(2, 3), 3.05)
    node.step(Tick(), 3.1)
    return node


def test_learner_that_has_not_answered_a_new_leader_is_not_promoted_to_a_voter():
    node = make_leader_with_learner()
    assert node.is_leader(3.1)
    assert node.core.configuration.voters == VOTERS


def test_learner_is_promoted_once_it_has_answered_and_caught_up():
    node = make_leader_with_learner()
    node.step(appended(2, 3.1, sender='d@1'), 3.15)
    node.step(appended(2, 3.1), 3.15)
    node.step(Tick(), 3.2)
    assert set(node.core.configuration.voters) == {*VOTERS, 'd@1'}


# A new voter that lacked dozens of large entries held up every commit for seconds.
def test_learner_that_lacks_more_bytes_than_a_batch_is_not_promoted():
    node = make_leader_with_learner()
    bodies = tuple(bytes(Timing().batch_bytes // 4) for _ in range(6))
    node.step(Propose(tuple(range(6)), bodies), 3.12)
    node.step(appended(2, 3.12, sender='d@1'), 3.15)
    node.step(appended(8, 3.12), 3.15)
    node.step(Tick(), 3.2)
    assert node.core.configuration.voters == VOTERS
    node.step(appended(4, 3.15, sender='d@1'), 3.25)
    node.step(Tick(), 3.3)
    assert set(node.core.configuration.voters) == {*VOTERS, 'd@1'}


PIECE_BYTES = Timing().piece_bytes


def make_leader_that_sends_a_snapshot():
    """Makes a leader whose state of six pieces replaces more bytes of entries for one voter."""
    node = make_leader()
    node.step(appended(3, 3), 3.1)
    bodies = tuple(bytes(200_000) for _ in range(4))
    node.step(Propose(tuple(range(4)), bodies), 3.2)
    node.step(appended(7, 3.2), 3.25)
    state = Snapshot(7, 4, node.core.log.configuration_at(7), bytes(6 * PIECE_BYTES))
    node.step(SnapshotTaken(state, keep_entries=6), 3.3)
    conflict = AppendReply('c@1', 'a@1', 4, False, 0, 1, 0, 3.2)
    return node, sent_pieces(node.step(conflict, 3.3))


def sent_pieces(effects):
    sent = [effect.message for effect in effects if isinstance(effect, Send)]
    return [
        message.offset // PIECE_BYTES for message in sent if isinstance(message, SnapshotPiece)
    ]


def received(pieces):
    return SnapshotReply('c@1', 'a@1', 4, 7, pieces * PIECE_BYTES, 3.3)


def test_state_that_is_smaller_than_the_missing_entries_is_sent_in_their_place():
    node, first = make_leader_that_sends_a_snapshot()
    assert node.core.log.base_index == 1
    assert first == [0]


# One piece a round trip left most of a link between regions unused.
def test_pieces_in_flight_fill_a_window_and_each_is_sent_once():
    node, sent = make_leader_that_sends_a_snapshot()
    for confirmed in range(1, 6):
        sent += sent_pieces(node.step(received(confirmed), 3.3 + confirmed / 100))
    assert sent == [0, 1, 2, 3, 4, 5]


def test_transfer_goes_on_after_the_last_confirmed_piece_once_pieces_are_lost():
    node, _first = make_leader_that_sends_a_snapshot()
    assert sent_pieces(node.step(received(1), 3.31)) == [1, 2, 3]
    assert sent_pieces(node.step(Tick(), 3.7)) == []
    assert sent_pieces(node.step(Tick(), 3.95)) == [1]
    assert sent_pieces(node.step(received(2), 3.96)) == [2, 3, 4]


def test_transfer_starts_again_for_a_member_that_lost_what_it_had_received():
    node, _first = make_leader_that_sends_a_snapshot()
    node.step(received(3), 3.31)
    assert sent_pieces(node.step(received(0), 3.32)) == [0, 1, 2]
