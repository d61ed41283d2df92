"""Slopes by the rate of changes and of claims, on three voters with stand-in entries."""

import time
from concurrent.futures import ThreadPoolExecutor

from bench.capacity_slopes import Slope
from bench.harness.callers import CustomerLoad, start_callers, summarise_requests
from bench.harness.fleet import Fleet, running_fleet
from bench.harness.layout import ProcessKind
from bench.harness.plan import Deployment
from bench.harness.releases import apply_base_settings
from bench.slopes_links import ONE_ZONE, SETTLE_SECONDS, start_standins
from bench.slopes_sampling import WindowUsage, make_slope, measure_window

CHANGE_RATES = (0, 5, 10, 20)
CLAIM_RATES = (0, 10, 20, 40)
SUBSCRIBERS = 50
WINDOW_SECONDS = 6.0
FOLLOWERS = 2
FAN_OUT_MESSAGES = ('state-delta', 'state-snapshot')


def measure_changes() -> dict[str, Slope]:
    """Measures the leader and an entry under changes, then the leader under claims.

    Stand-in entries subscribe to every voter during the changes; the bookings that
    cause claims come from real callers.
    """
    with running_fleet(Deployment(zones=ONE_ZONE, engines_per_zone=0, voters=3)) as fleet:
        fleet.wait_leader()
        for name in fleet.names(ProcessKind.control):
            address = fleet.layout.processes[name].public_address(0)
            start_standins(fleet, f'standins-{name}', 'entries', address, SUBSCRIBERS)
        time.sleep(SETTLE_SECONDS)
        changes = [(rate, _measure_under_changes(fleet, rate)) for rate in CHANGE_RATES]
    with running_fleet(Deployment(zones=ONE_ZONE, engines_per_zone=0, voters=3)) as fleet:
        fleet.wait_leader()
        apply_base_settings(fleet)
        claims = [(rate, _measure_under_claims(fleet, rate)) for rate in CLAIM_RATES]
    leader_windows = [(rate, windows[0]) for rate, windows in changes]
    entry_windows = [(rate, windows[1]) for rate, windows in changes]
    return {
        'control_processor_per_change': make_slope(
            [(rate, window.processor_share) for rate, window in leader_windows],
            's',
            f'change with {SUBSCRIBERS} subscribers',
            'changes',
        ),
        'raft_bytes_per_command': make_slope(
            [
                (rate, _raft_bytes_per_second(window) / FOLLOWERS)
                for rate, window in leader_windows
            ],
            'B',
            'command and follower',
            'changes',
        ),
        'fanout_bytes_per_change': make_slope(
            [
                (rate, _fan_out_bytes_per_second(window) / (SUBSCRIBERS + 1))
                for rate, window in leader_windows
            ],
            'B',
            'change and subscriber',
            'changes',
        ),
        'entry_processor_per_change': make_slope(
            [(rate, window.processor_share) for rate, window in entry_windows],
            's',
            'change',
            'changes',
        ),
        'claim_processor_per_claim': make_slope(
            [(rate, window.processor_share) for rate, window in claims],
            's',
            'claim and settlement',
            'changes',
        ),
    }


def leader_name(fleet: Fleet) -> str:
    """Returns the name of the control host that the administration API reports as leader."""
    status = fleet.wait_leader()
    return str(status['consensus']['leader'])


def _measure_under_changes(fleet: Fleet, rate: float) -> tuple[WindowUsage, WindowUsage]:
    # Other threads of this process send the load at fixed times and measure the entry.
    leader = leader_name(fleet)
    with ThreadPoolExecutor(max_workers=3) as pool:
        sender = pool.submit(_send_changes, fleet, rate, WINDOW_SECONDS + 1)
        entry_window = pool.submit(_measure_process, fleet, 'entry-zone-a-1', 0)
        leader_window = _measure_process(fleet, leader, 1)
        sender.result()
        return leader_window, entry_window.result()


def _send_changes(fleet: Fleet, rate: float, seconds: float) -> None:
    started = time.monotonic()
    count = int(rate * seconds)
    for number in range(count):
        wait_seconds = started + number / rate - time.monotonic()
        time.sleep(max(0, wait_seconds))
        reply = fleet.command('customer-put', name=f'customer-{number % 20}', weight=1 + number)
        assert reply.status == 200, reply.body


def _measure_under_claims(fleet: Fleet, rate: float) -> WindowUsage:
    if not rate:
        return _measure_process(fleet, leader_name(fleet), 1)
    customer = next(iter(fleet.deployment.customers))
    load = CustomerLoad(customer, requests_per_second=rate, kind='book')
    callers = start_callers(fleet, [load], WINDOW_SECONDS + 3, name=f'claims-{rate}')
    time.sleep(1)
    window = _measure_process(fleet, leader_name(fleet), 1)
    summary = summarise_requests(callers.wait(), 'book')
    if summary.answered < summary.requests:
        raise AssertionError(f'bookings were not answered: {summary.codes}')
    return window


def _measure_process(fleet: Fleet, name: str, port_index: int) -> WindowUsage:
    address = fleet.layout.processes[name].public_address(port_index)
    return measure_window(fleet.children[name], address, WINDOW_SECONDS)


def _raft_bytes_per_second(window: WindowUsage) -> float:
    sent = window.sent_bytes
    return sum(count for message, count in sent.items() if 'append' in message) / window.seconds


def _fan_out_bytes_per_second(window: WindowUsage) -> float:
    return sum(window.sent_bytes.get(message, 0) for message in FAN_OUT_MESSAGES) / window.seconds
