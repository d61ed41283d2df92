"""Mutation tests: breaks one safety condition at a time and reports whether a test fails.

Run by ``make mutants``. Each mutant names a file, a text that occurs in it exactly
once, its replacement, and the tests that should fail. The file is restored afterwards.
"""

import subprocess
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).parent.parent


@dataclass(frozen=True, slots=True)
class Mutant:
    """A replacement in a source file that breaks one condition."""

    path: str
    text: str
    replacement: str
    tests: str


CONSENSUS, PROXY, ROUTING = 'test/consensus', 'test/proxy', 'test/routing'
HTTP = 'test/http1'
TRAITS = 'test/routing/test_trait_blame.py'
REQUESTS = 'test/routing/test_request_suspicion.py'
RESTING = 'test/proxy/test_resting_upstreams.py'
RESTARTS = 'test/proxy/test_restarts.py'
MUTANTS = (
    Mutant('consensus/election.py', "core.voted_for in {'', request.sender}", 'True', CONSENSUS),
    Mutant(
        'consensus/election.py',
        'and self._up_to_date(request)\n        if',
        '\n        if',
        CONSENSUS,
    ),
    Mutant('consensus/replication.py', 'committed >= self._term_start_index and ', '', CONSENSUS),
    Mutant(
        'agent/service_permit.py',
        'if not self.lease.is_live(now_seconds):',
        'if False:',
        'test/agent',
    ),
    Mutant('agent/service_permit.py', "record.get('mode') == OUT", 'False', 'test/agent'),
    Mutant(
        'routing/request_dispatch.py',
        "self.spec.release not in {'', grant.release}",
        'False',
        ROUTING,
    ),
    Mutant('site/machine.py', 'if version < held.version:', 'if False:', 'test/site'),
    Mutant(
        'site/machine.py', 'if digest == held.digest else CommandOutcome.conflict', '', 'test/site'
    ),
    Mutant('site/view.py', 'summary.revision > self.revision and ', '', 'test/site'),
    Mutant('site/view.py', 'summary.revision <= self._zones_revision', 'False', 'test/site'),
    Mutant(
        'site/announcements.py',
        'held.announced_seconds <= target.announced_seconds',
        'True',
        'test/site',
    ),
    Mutant(
        'site/announcements.py',
        'held.announced_seconds <= target.announced_seconds',
        'False',
        'test/site',
    ),
    Mutant(
        'site/client.py',
        'apply_summary(summary, received.received_seconds)',
        'apply_summary(summary, now_seconds)',
        'test/site',
    ),
    Mutant('group/fanout.py', 'if message.weights:', 'if False:', 'test/group'),
    Mutant(
        'group/fanout.py', 'age_seconds = OVERDUE_AGE_SECONDS', 'age_seconds = 0', 'test/group'
    ),
    Mutant('group/fanout.py', 'if revision != self._sent_revision:', 'if True:', 'test/group'),
    Mutant(
        'group/weight_ages.py',
        'if each.version >= due_versions.get(each.model, 0)',
        '',
        'test/group/test_weight_ages.py',
    ),
    Mutant('group/weight_ages.py', '_age(after) >= max(', '0 > max(', 'test/group'),
    Mutant('group/fanout.py', 'if each.version >= oldest.get(each.model, 0)', '', 'test/group'),
    Mutant(
        'group/weight_ages.py',
        'not self.replicator.is_leader()',
        'False',
        'test/group/test_weight_ages.py',
    ),
    Mutant(
        'site/stored_weights.py',
        'or (held.age_seconds or 0) > told.age_seconds',
        '',
        'test/site/test_machine.py',
    ),
    Mutant(
        'site/stored_weights.py',
        'each in held if _sort_key(each) in told_by_version}',
        'each in sorted(told_by_version.values(), key=_sort_key)}',
        'test/site/test_machine.py',
    ),
    Mutant(
        'site/view.py', 'if document.version <= self.document_version:', 'if False:', 'test/site'
    ),
    Mutant(
        'registry/registration.py',
        'registration.sort_key <= held.registration.sort_key',
        'False',
        'test/registry',
    ),
    Mutant(
        'registry/registration.py',
        'registration.born_milliseconds > holder.born_milliseconds',
        'True',
        'test/registry',
    ),
    Mutant(
        'consensus/membership.py',
        'if progress is None or not self._has_answered(node):',
        'if progress is None:',
        CONSENSUS,
    ),
    Mutant('proxy/send_history.py', 'self.route.may_repeat and ', '', PROXY),
    Mutant('proxy/send_history.py', 'self.ran_on.add(upstream)', 'pass', PROXY),
    Mutant(
        'proxy/attempt.py', 'if is_other_call or lacks_attempt_id:', 'if lacks_attempt_id:', PROXY
    ),
    Mutant(
        'proxy/attempt.py', 'if is_other_call or lacks_attempt_id:', 'if is_other_call:', PROXY
    ),
    Mutant(
        'proxy/relaying.py',
        'if frame.number and frame.number <= self.last_event:',
        'if False:',
        PROXY,
    ),
    Mutant(
        'proxy/selection.py',
        'if upstream.registration.zone in context.view.emptied_zones:',
        'if False:',
        PROXY,
    ),
    Mutant(
        'proxy/watch.py',
        'if not attempt.ended and self._seconds_until_recall(attempt) <= 0:',
        'if False:',
        PROXY,
    ),
    Mutant('proxy/watch.py', 'if attempt.received_events else', 'if self._call.relay else', PROXY),
    Mutant('proxy/watch.py', 'handover.read_both()', 'pass', PROXY),
    Mutant(
        'proxy/handover.py', 'complete_handover(self._call)\n                return', 'pass', PROXY
    ),
    Mutant(
        'proxy/handover.py',
        'if left is not None and not left.ended:',
        'if False:',
        PROXY,
    ),
    Mutant(
        'proxy/task.py',
        "give_up_handover(self, AttemptEnd.silent, 'the first engine goes on')",
        'pass',
        PROXY,
    ),
    Mutant(
        'proxy/selection.py',
        'return max(rule.expected_version, held_version)',
        'return rule.expected_version',
        PROXY,
    ),
    Mutant(
        'routing/weight_rules.py',
        'if self.pinned_version and version != self.pinned_version:',
        'if False:',
        ROUTING,
    ),
    Mutant(
        'routing/weight_rules.py', 'return version >= self.least_version', 'return True', ROUTING
    ),
    Mutant(
        'routing/shared_limits.py', 'if len(self._repeats) + 1 > allowed:', 'if False:', ROUTING
    ),
    Mutant(
        'routing/shared_limits.py',
        ' * max(0, 1 - unsettled_seconds / self.window_seconds)',
        '',
        ROUTING,
    ),
    Mutant('proxy/program.py', '        self._send_known(link)\n', '', RESTARTS),
    Mutant('routing/shared_limits.py', 'return used + 1 <= own_part', 'return True', ROUTING),
    Mutant('routing/sends.py', 'return self.pending + ', 'return ', PROXY),
    Mutant('routing/upstreams.py', 'else upstream.sends', 'else SendRecord()', PROXY),
    Mutant(
        'routing/shares.py', '        if not self.is_listed:\n            return 0\n', '', ROUTING
    ),
    Mutant('routing/upstreams.py', 'and not registration.leaving', '', ROUTING),
    Mutant(
        'staging/changeover.py',
        'if not await self._verify_staged(staged):',
        'if False:',
        'test/staging',
    ),
    Mutant('staging/changeover.py', 'fits_memory and is_due and', 'is_due and', 'test/staging'),
    Mutant(
        'staging/version_choice.py',
        'return left_seconds > WORTH_LOADING_SECONDS',
        'return True',
        'test/staging',
    ),
    Mutant('staging/drain.py', 'version != self.version and ', '', 'test/staging'),
    Mutant(
        'routing/weight_rules.py',
        'ENGINE_SILENCE_SECONDS + BEGIN_SECONDS  #',
        'BEGIN_SECONDS  #',
        'test/bench/emulator/test_silent_engines.py',
    ),
    Mutant(
        'staging/piece_fetcher.py',
        'if source.is_origin and relays_answer and not self._may_bypass(may_bypass):',
        'if False:',
        'test/staging',
    ),
    Mutant(
        'proxy/relaying.py',
        'return relay is not None and _is_forwarded(head) and not relay.is_whole()',
        'return False',
        PROXY,
    ),
    Mutant(
        'proxy/relaying.py',
        'if self.unfinished_bytes:\n            return False\n',
        '',
        PROXY,
    ),
    Mutant('proxy/relaying.py', 'or self._framing is not Framing.connection', 'or True', PROXY),
    Mutant('proxy/relaying.py', 'or frame.has_fields', 'or True', PROXY),
    Mutant('proxy/relaying.py', 'return not self._frames.is_too_long', 'return True', PROXY),
    Mutant('proxy/attempt.py', 'if not self.head.decoded.not_run:', 'if True:', PROXY),
    Mutant('proxy/attempt.py', 'self._refusal_bytes > REFUSAL_BODY_BYTES', 'False', PROXY),
    Mutant(
        'proxy/task.py',
        'if attempt.head is not None and attempt.head.decoded.not_run:',
        'if False:',
        PROXY,
    ),
    Mutant('proxy/task.py', 'self.attempt.set_paused(is_full or pauses_engine)', 'pass', PROXY),
    Mutant('http1/client.py', 'if not reason.check(ConnectionDone):', 'if False:', HTTP),
    Mutant('http1/client.py', 'if self._head_bytes > MAX_HEAD_BYTES:', 'if False:', HTTP),
    Mutant('http1/client.py', ' or self._foreign_answers > MAX_FOREIGN_ANSWERS', '', HTTP),
    Mutant('http1/fetch.py', 'len(self._body) > self._limits.body_bytes', 'False', HTTP),
    Mutant(
        'http1/fetch.py',
        'now_seconds - self._started_seconds >= self._limits.total_seconds',
        'False',
        HTTP,
    ),
    Mutant('http1/server.py', 'if self._unread_bytes > MAX_UNREAD_BYTES:', 'if False:', HTTP),
    Mutant('agent/upstream.py', 'self._received_bytes > MAX_ANSWER_BYTES', 'False', 'test/agent'),
    Mutant(
        'proxy/relaying.py',
        'return is_resumed and head.decoded.status not in SUCCESS',
        'return False',
        PROXY,
    ),
    Mutant(
        'proxy/selection.py', 'if not selection.is_late or selection.tried:', 'if False:', PROXY
    ),
    Mutant('proxy/selection.py', 'is_late or selection.tried:', 'is_late:', PROXY),
    Mutant('proxy/selection.py', ' and not selection.is_late:', ':', PROXY),
    Mutant(
        'proxy/watch.py',
        'if choice is None or (moving and not call.context.take_move(call.sends.service)):',
        'if choice is None:',
        PROXY,
    ),
    Mutant('routing/moving.py', ' or now_seconds < self.next_seconds:', ':', ROUTING),
    Mutant(
        'routing/late_calls.py',
        ' or now_seconds - first_seconds >= REMEMBERED_SECONDS',
        '',
        ROUTING,
    ),
    Mutant(
        'http1/client.py', 'len(core.trailing_data[0]) != trailing_bytes', 'False', 'test/http1'
    ),
    Mutant(
        'http1/server.py',
        "b'transfer-encoding' in names and b'content-length' in names",
        'False',
        'test/http1',
    ),
    Mutant('http1/server.py', ' and not self._refused', '', 'test/http1'),
    Mutant('platform/traffic.py', "b'tenant',", '', 'test/platform'),
    Mutant(
        'group/call_handler.py',
        'if call.registration.leaving and not self.replicator.leader_name():',
        'if False:',
        'test/group',
    ),
    Mutant(
        'routing/ended_engines.py',
        'for moment in moments_of(ends) if len(moment) < MASS_ENDS',
        'for moment in moments_of(ends)',
        TRAITS,
    ),
    Mutant('routing/part_suspicion.py', 'or suspicion.is_usual or', 'or', TRAITS),
    Mutant(
        'routing/request_suspicion.py',
        'count >= SURE_ENDS and suspicion.rounds >= MIN_ROUNDS',
        'True',
        REQUESTS,
    ),
    Mutant('routing/request_suspicion.py', 'suspicion.rounds >= MIN_ROUNDS', 'True', REQUESTS),
    Mutant(
        'routing/request_suspicion.py',
        'self.was_answered and tried_seconds < MIN_TRIED_SECONDS',
        'False',
        REQUESTS,
    ),
    Mutant(
        'routing/request_suspicion.py',
        'is_known or len(self.ends) >= SURE_ENDS',
        'True',
        REQUESTS,
    ),
    Mutant('routing/request_suspicion.py', 'return is_equal and shared', 'return False', REQUESTS),
    Mutant('routing/trait_blame.py', 'end.explain_by_request(bad_request)', 'pass', REQUESTS),
    Mutant(
        'routing/rest.py',
        'until_seconds <= max(self.until_seconds, now_seconds)',
        'False',
        RESTING,
    ),
    Mutant('routing/rest.py', 'or calls < 2**self._doublings', 'or True', RESTING),
    Mutant(
        'proxy/selection.py',
        'if not upstream.rest.allows(upstream.calls + upstream.sends.pending, now_seconds):',
        'if False:',
        RESTING,
    ),
    Mutant(
        'proxy/selection.py',
        'if not upstream.accepts_calls(now_seconds):',
        'if False:',
        RESTING,
    ),
    Mutant(
        'proxy/engine_ends.py',
        'if not upstream.accepts_calls(self.clock.seconds()):',
        'if False:',
        RESTING,
    ),
    Mutant(
        'proxy/engine_ends.py',
        'refused and not check.upstream.registration.leaving',
        'refused',
        'test/proxy/test_crashing_requests.py',
    ),
    Mutant(
        'proxy/limit_reports.py',
        'upstream is None or upstream.incarnation != reported.upstream',
        'upstream is None',
        'test/proxy/test_named_limits.py',
    ),
    Mutant(
        'registry/registration.py',
        'if _incarnation(registration) in self._known_leaving:',
        'if False:',
        RESTING,
    ),
)


@contextmanager
def applied(mutant: Mutant) -> Iterator[None]:
    """Applies the mutant to its file and restores the file on exit."""
    path = ROOT / 'jackdawsail' / mutant.path
    original = path.read_text('utf8')
    if original.count(mutant.text) != 1:
        raise AssertionError(
            f'{mutant.path}: {mutant.text!r} occurs {original.count(mutant.text)} times'
        )
    path.write_text(original.replace(mutant.text, mutant.replacement), 'utf8')
    try:
        yield
    finally:
        path.write_text(original, 'utf8')


def is_detected(mutant: Mutant) -> bool:
    """Returns whether the tests fail while the mutant is applied."""
    command = [sys.executable, '-m', 'pytest', '-q', '-x', '-m', 'not slow', mutant.tests]
    with applied(mutant):
        return subprocess.run(command, cwd=ROOT, capture_output=True, check=False).returncode == 1


def main() -> int:
    """Runs all mutants; the exit status is the number of those that no test detects."""
    survivors = 0
    for mutant in MUTANTS:
        detected = is_detected(mutant)
        survivors += not detected
        print(
            f'{"detected" if detected else "MISSED  "} {mutant.path}: {mutant.text[:70]!r}',
            flush=True,
        )
    print(f'{len(MUTANTS) - survivors} of {len(MUTANTS)} detected')
    return survivors


if __name__ == '__main__':
    sys.exit(main())
