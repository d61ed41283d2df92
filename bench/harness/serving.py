"""Brings a fleet to the point where its entries answer customers."""

from bench.harness.fleet import Fleet
from bench.harness.releases import roll_out
from bench.harness.waiting import wait_until

READY_SECONDS = 30.0
OK = 200


def serve_release(fleet: Fleet, release: str, customer: str) -> None:
    """Waits for the seeded configuration, rolls a release out, and asks every entry."""
    fleet.wait_leader()
    wait_until(lambda: _revision(fleet), READY_SECONDS, 'the first configuration')
    roll_out(fleet, release)
    wait_until(lambda: _all_serve(fleet, customer), READY_SECONDS, 'every entry serves')


def generate_path(fleet: Fleet) -> str:
    """Returns the callers' path of a generation."""
    return f'/v1/backends/{fleet.deployment.engine_backend}/generate'


def call_path(fleet: Fleet, path: str) -> str:
    """Returns the callers' path of a call to the plain service."""
    return f'/v1/backends/{fleet.deployment.service_backend}/call/{path}'


def _revision(fleet: Fleet) -> int:
    return int(fleet.admin('GET', '/v1/status').content.get('revision', 0))


def _all_serve(fleet: Fleet, customer: str) -> bool:
    body = {'prompt': 'warm up', 'max_tokens': 4}
    replies = [
        fleet.call_entry(address, customer, 'POST', generate_path(fleet), body)
        for address in fleet.entry_addresses()
    ]
    return all(reply.status == OK for reply in replies)
