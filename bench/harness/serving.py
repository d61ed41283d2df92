"""Rolls out a first release, so that the entries of a fleet serve customers."""

from bench.harness.fleet import Fleet
from bench.harness.releases import roll_out
from bench.harness.waiting import wait_until

READY_TIMEOUT_SECONDS = 30.0
HTTP_OK = 200


def serve_release(fleet: Fleet, release: str, customer: str) -> None:
    """Waits for the base settings, rolls out a release and waits until every entry serves it."""
    fleet.wait_leader()
    wait_until(
        lambda: _revision(fleet), READY_TIMEOUT_SECONDS, 'the first revision of the settings'
    )
    roll_out(fleet, release)
    wait_until(
        lambda: _all_entries_serve(fleet, customer), READY_TIMEOUT_SECONDS, 'every entry serves'
    )


def generate_path(fleet: Fleet) -> str:
    """Returns the path at an entry for generate requests."""
    return f'/v1/backends/{fleet.deployment.engine_backend}/generate'


def call_path(fleet: Fleet, path: str) -> str:
    """Returns the path at an entry for calls to the plain service."""
    return f'/v1/backends/{fleet.deployment.service_backend}/call/{path}'


def _revision(fleet: Fleet) -> int:
    return int(fleet.admin('GET', '/v1/status').content.get('revision', 0))


def _all_entries_serve(fleet: Fleet, customer: str) -> bool:
    body = {'prompt': 'warm up', 'max_tokens': 4}
    replies = [
        fleet.call_entry(address, customer, 'POST', generate_path(fleet), body)
        for address in fleet.entry_addresses()
    ]
    return all(reply.status == HTTP_OK for reply in replies)
