"""The steps of the scenarios, in the words of the users."""

import time
from collections.abc import Iterator

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from bench.harness.child import TemplateStarter
from bench.harness.fleet import template_starter
from bench.harness.waiting import wait_until
from test.scenarios.world import NOT_RUN, World, cold_engines

scenarios('.')


@pytest.fixture(scope='session')
def starter() -> Iterator[TemplateStarter]:
    with template_starter() as made:
        yield made


@pytest.fixture
def world(starter: TemplateStarter, request: pytest.FixtureRequest) -> Iterator[World]:
    made = World(starter)
    with made.stack:
        yield made
        if getattr(request.node, 'failed_call', False):
            made.keep_logs(request.node.name)


@given(
    parsers.re(
        r'a deployment with (?P<voters>\d) control hosts?, (?P<entries>\d) entr(y|ies)'
        r' and (?P<engines>\d) engines? a data centre'
    ),
    converters={'voters': int, 'entries': int, 'engines': int},
)
def deploy(world: World, voters: int, entries: int, engines: int) -> None:
    world.start(voters=voters, entries_per_zone=entries, engines_per_zone=engines)


@given(
    parsers.parse(
        'a deployment whose engines warm up over {warm:g} seconds and bear {limit:d} requests cold'
    )
)
def deploy_cold(world: World, warm: float, limit: int) -> None:
    world.start(engine=cold_engines(warm, limit), agent_cold_limit=limit)


@given(parsers.parse('every engine serves release {release}'))
def serve_release(world: World, release: str) -> None:
    world.release(release)


@given('customers keep asking')
def keep_asking(world: World) -> None:
    world.ask()


@given('customers keep asking more than one engine a data centre has room for')
def keep_asking_much(world: World) -> None:
    # Some four requests run at a time in each data centre. With fewer, the engine that
    # holds the customers' prompt prefixes may rightly get all of them.
    world.ask(requests_per_second=18)


@given('customers keep booking')
def keep_booking(world: World) -> None:
    world.ask('book', requests_per_second=10)


@when(parsers.parse('{seconds:g} seconds pass'))
def wait(seconds: float) -> None:
    time.sleep(seconds)


@when(parsers.parse('data centre {zone} is taken out'))
def take_out(world: World, zone: str) -> None:
    wait_until(lambda: world.fleet.command('zone-out', name=zone).status == 200, 10, 'zone out')
    world.mark()


@when(parsers.parse('data centre {zone} is brought back'))
def bring_back(world: World, zone: str) -> None:
    assert world.fleet.command('zone-in', name=zone).status == 200


@when(parsers.parse('{name} is cut off silently'))
def cut_off(world: World, name: str) -> None:
    world.cut_off = world.leader() if name == 'the control leader' else name
    assert world.fleet.proxy is not None
    world.fleet.proxy.isolate(world.cut_off)


@when('the network heals')
def heal(world: World) -> None:
    world.heal()


@when(parsers.parse('{name} is killed and started again'))
def restart(world: World, name: str) -> None:
    world.restart(world.leader() if name == 'the control leader' else name)


@when(parsers.parse('{one} and {other} are stopped gracefully'))
def stop(world: World, one: str, other: str) -> None:
    world.stop_gracefully([one, other])


@when(parsers.parse('customer {name} is removed'))
@then(parsers.parse('customer {name} can be removed'))
def remove_customer(world: World, name: str) -> None:
    world.remove_customer(name)


@when('the origin corrupts the first answer for each chunk')
def corrupt_first(world: World) -> None:
    world.fleet.post_to_fake('origin', '/admin/fault', {'kind': 'corrupt', 'first': 1})


@when('the origin serves other content under the same name')
def change_content(world: World) -> None:
    world.fleet.post_to_fake('origin', '/admin/fault', {'kind': 'change'})


@when(parsers.parse('release {release} is started'))
def start(world: World, release: str) -> None:
    world.release(release, wait_seconds=0)


@then(parsers.parse('{engines} got no new work from {seconds:g} seconds after that'))
def no_new_work(world: World, engines: str, seconds: float) -> None:
    assert world.runs_since(world.engines(engines), seconds) == []


@then(parsers.parse('{engines} gets new work within {seconds:g} seconds'))
def new_work(world: World, engines: str, seconds: float) -> None:
    world.wait_new_work(world.engines(engines), seconds)


@then('no request was cut off')
def none_cut_off(world: World) -> None:
    ended = [line for line in world.lines() if line['status'] != 200]
    assert [line for line in ended if line['outcome'] != NOT_RUN] == []


@then("every answer is the caller's own and whole")
def whole_answers(world: World) -> None:
    answered = [line for line in world.lines() if line['status'] == 200]
    assert answered
    assert [line for line in answered if not line['correct']] == []


@then('every caller was told the truth')
def told_truth(world: World) -> None:
    lines = world.lines()
    runs = {run['id'] for run in world.fleet.all_records(world.engines())}
    told_not_run = [line for line in lines if line['outcome'] == NOT_RUN]
    assert [line for line in told_not_run if line['request_id'] in runs] == []


@then('every booking ran at most once, and as its caller was told')
def booked_once(world: World) -> None:
    lines = world.lines()
    runs = world.run_counts()
    assert [slot for slot in runs if runs[slot] > 1] == []
    done = [line['id'] for line in lines if line['status'] == 200]
    assert done
    assert [slot for slot in done if runs[slot] != 1] == []
    not_run = [line['id'] for line in lines if line['outcome'] == NOT_RUN]
    assert [slot for slot in not_run if runs[slot]] == []


@then(parsers.parse('another control host leads within {seconds:g} seconds'))
def other_leader(world: World, seconds: float) -> None:
    wait_until(lambda: world.leader() not in {'', world.cut_off}, seconds, 'another leader')


@then('the one that was cut off answers no operator')
def old_leader_is_mute(world: World) -> None:
    wait_until(lambda: world.ask_leader_that_was() != 200, 3, 'the old leader steps down')


@then(parsers.parse('every entry refuses customer {name} within {seconds:g} seconds'))
def refused(world: World, name: str, seconds: float) -> None:
    wait_until(lambda: world.refuses(name), seconds, f'{name} is refused')


@then(parsers.parse('customer {name} is absent from the state of the leader'))
def absent(world: World, name: str) -> None:
    world.leader()
    listed = world.fleet.admin('GET', '/v1/customers').content['items']
    assert listed
    assert name not in {each['name'] for each in listed}


@then(parsers.parse('every engine serves release {release} within {seconds:g} seconds'))
def served(world: World, release: str, seconds: float) -> None:
    world.wait_release(release, seconds)


@then(parsers.parse('release {release} has failed within {seconds:g} seconds'))
def failed(world: World, release: str, seconds: float) -> None:
    shown = wait_until(lambda: world.failed_release(release), seconds, f'{release} has failed')
    assert shown['reason']


@then('no engine ever loaded other weights')
def right_weights(world: World) -> None:
    loads = world.fleet.all_records(world.engines(), 'load')
    assert loads
    digests = world.fleet.digests
    assert [load for load in loads if load['digest'] != digests[load['release']]] == []


@then('no engine was given more than it bears')
def none_collapsed(world: World) -> None:
    assert world.fleet.all_records(world.engines(), 'collapse') == []


@then('they ended with exit status 0')
def ended_well(world: World) -> None:
    assert world.exit_codes == [0, 0]
