"""The steps of the scenarios, which are written in the users' terms."""

import time
from collections.abc import Iterator

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from bench.harness.child import TemplateStarter
from bench.harness.fleet import template_starter
from bench.harness.waiting import wait_until
from test.scenarios.context import NOT_RUN, ScenarioContext, cold_engines

scenarios('.')


@pytest.fixture(scope='session')
def starter() -> Iterator[TemplateStarter]:
    with template_starter() as template:
        yield template


@pytest.fixture
def context(starter: TemplateStarter, request: pytest.FixtureRequest) -> Iterator[ScenarioContext]:
    started = ScenarioContext(starter)
    with started.stack:
        yield started
        if getattr(request.node, 'failed_call', False):
            started.keep_logs(request.node.name)


@given(
    parsers.re(
        r'a deployment with (?P<voters>\d) control hosts?, (?P<entries>\d) entr(y|ies)'
        r' and (?P<engines>\d) engines? per data centre'
    ),
    converters={'voters': int, 'entries': int, 'engines': int},
)
def deploy(context: ScenarioContext, voters: int, entries: int, engines: int) -> None:
    context.start(voters=voters, entries_per_zone=entries, engines_per_zone=engines)


@given(
    parsers.parse(
        'a deployment whose engines warm up over {warm:g} seconds'
        ' and can run {limit:d} requests when cold'
    )
)
def deploy_cold(context: ScenarioContext, warm: float, limit: int) -> None:
    context.start(engine=cold_engines(warm, limit), agent_cold_limit=limit)


@given(parsers.parse('every engine serves release {release}'))
def serve_release(context: ScenarioContext, release: str) -> None:
    context.roll_out(release)


@given('customers keep sending requests')
def keep_sending(context: ScenarioContext) -> None:
    context.start_load()


@given('customers keep sending more requests than one engine per data centre can run')
def keep_sending_much(context: ScenarioContext) -> None:
    # About four requests run at a time in each data centre. With fewer, all of them may
    # rightly go to the engine that has the customers' prompt prefixes cached.
    context.start_load(requests_per_second=18)


@given('customers keep sending bookings')
def keep_booking(context: ScenarioContext) -> None:
    context.start_load('book', requests_per_second=10)


@when(parsers.parse('{seconds:g} seconds pass'))
def wait(seconds: float) -> None:
    time.sleep(seconds)


@when(parsers.parse('data centre {zone} is taken out'))
def take_out(context: ScenarioContext, zone: str) -> None:
    wait_until(lambda: context.fleet.command('zone-out', name=zone).status == 200, 10, 'zone out')
    context.mark_time()


@when(parsers.parse('data centre {zone} is brought back'))
def bring_back(context: ScenarioContext, zone: str) -> None:
    assert context.fleet.command('zone-in', name=zone).status == 200


@when(parsers.parse('{name} is cut off silently'))
def cut_off(context: ScenarioContext, name: str) -> None:
    context.cut_off_process = context.wait_leader() if name == 'the control leader' else name
    assert context.fleet.proxy is not None
    context.fleet.proxy.isolate(context.cut_off_process)


@when('the network heals')
def heal(context: ScenarioContext) -> None:
    context.heal()


@when(parsers.parse('{name} is killed and restarted'))
def restart(context: ScenarioContext, name: str) -> None:
    context.restart(context.wait_leader() if name == 'the control leader' else name)


@when(parsers.parse('{one} and {other} are stopped gracefully'))
def stop(context: ScenarioContext, one: str, other: str) -> None:
    context.stop_gracefully([one, other])


@when(parsers.parse('customer {name} is removed'))
@then(parsers.parse('customer {name} can be removed'))
def remove_customer(context: ScenarioContext, name: str) -> None:
    context.remove_customer(name)


@when('the origin corrupts the first answer for each chunk')
def corrupt_first(context: ScenarioContext) -> None:
    context.fleet.post_to_fake('origin', '/admin/fault', {'kind': 'corrupt', 'first': 1})


@when('the origin serves other content under the same name')
def change_content(context: ScenarioContext) -> None:
    context.fleet.post_to_fake('origin', '/admin/fault', {'kind': 'change'})


@when(parsers.parse('release {release} is started'))
def start(context: ScenarioContext, release: str) -> None:
    context.roll_out(release, wait_seconds=0)


@then(parsers.parse('{engines} received no new requests from {seconds:g} seconds after that'))
def no_new_requests(context: ScenarioContext, engines: str, seconds: float) -> None:
    assert context.runs_since(context.engines_named(engines), seconds) == []


@then(parsers.parse('{engines} receives new requests within {seconds:g} seconds'))
def new_requests(context: ScenarioContext, engines: str, seconds: float) -> None:
    context.wait_new_requests(context.engines_named(engines), seconds)


@then('no request was interrupted')
def none_interrupted(context: ScenarioContext) -> None:
    unanswered = [record for record in context.finish_load() if record['status'] != 200]
    assert [record for record in unanswered if record['outcome'] != NOT_RUN] == []


@then('every answer is complete and belongs to its caller')
def complete_answers(context: ScenarioContext) -> None:
    answered = [record for record in context.finish_load() if record['status'] == 200]
    assert answered
    assert [record for record in answered if not record['correct']] == []


@then('no request that was reported as not run did run')
def not_run_requests_never_ran(context: ScenarioContext) -> None:
    records = context.finish_load()
    runs = {run['id'] for run in context.fleet.all_records(context.engines_named())}
    reported_not_run = [record for record in records if record['outcome'] == NOT_RUN]
    assert [record for record in reported_not_run if record['request_id'] in runs] == []


@then('every booking ran at most once, and as reported to its caller')
def booked_once(context: ScenarioContext) -> None:
    records = context.finish_load()
    runs = context.run_counts()
    assert [slot for slot in runs if runs[slot] > 1] == []
    done = [record['id'] for record in records if record['status'] == 200]
    assert done
    assert [slot for slot in done if runs[slot] != 1] == []
    not_run = [record['id'] for record in records if record['outcome'] == NOT_RUN]
    assert [slot for slot in not_run if runs[slot]] == []


@then(parsers.parse('another control host becomes leader within {seconds:g} seconds'))
def other_leader(context: ScenarioContext, seconds: float) -> None:
    wait_until(
        lambda: context.wait_leader() not in {'', context.cut_off_process},
        seconds,
        'another leader',
    )


@then('the cut-off leader answers no operator')
def old_leader_is_silent(context: ScenarioContext) -> None:
    wait_until(lambda: context.former_leader_status() != 200, 3, 'the old leader steps down')


@then(parsers.parse('every entry refuses customer {name} within {seconds:g} seconds'))
def refused(context: ScenarioContext, name: str, seconds: float) -> None:
    wait_until(lambda: context.all_entries_refuse(name), seconds, f'{name} is refused')


@then(parsers.parse('customer {name} is absent from the state of the leader'))
def absent(context: ScenarioContext, name: str) -> None:
    context.wait_leader()
    listed = context.fleet.admin('GET', '/v1/customers').content['items']
    assert listed
    assert name not in {each['name'] for each in listed}


@then(parsers.parse('every engine serves release {release} within {seconds:g} seconds'))
def served(context: ScenarioContext, release: str, seconds: float) -> None:
    context.wait_release(release, seconds)


@then(parsers.parse('release {release} has failed within {seconds:g} seconds'))
def failed(context: ScenarioContext, release: str, seconds: float) -> None:
    shown = wait_until(lambda: context.failed_release(release), seconds, f'{release} has failed')
    assert shown['reason']


@then('no engine loaded any other weights')
def right_weights(context: ScenarioContext) -> None:
    loads = context.fleet.all_records(context.engines_named(), 'load')
    assert loads
    digests = context.fleet.digests
    assert [load for load in loads if load['digest'] != digests[load['release']]] == []


@then('no engine was overloaded')
def none_overloaded(context: ScenarioContext) -> None:
    assert context.fleet.all_records(context.engines_named(), 'collapse') == []


@then('they exited with status 0')
def exited_cleanly(context: ScenarioContext) -> None:
    assert context.exit_codes == [0, 0]
