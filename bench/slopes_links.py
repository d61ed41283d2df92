"""Slopes by the number of links: agents at an entry, entries at a control host."""

import time

import yaml

from bench.capacity_slopes import RestFigures, Slope
from bench.harness.fleet import Fleet, running_fleet
from bench.harness.layout import ProcessKind
from bench.harness.plan import Deployment
from bench.harness.ports import free_ports
from bench.harness.settings_files import SITE_SECRET
from bench.slopes_sampling import WindowUsage, make_slope, measure_window

LINK_COUNTS = (0, 40, 80, 160)
SETTLE_SECONDS = 3.0
WINDOW_SECONDS = 8.0
STANDIN_LIFETIME_SECONDS = 600.0
ONE_ZONE = {'zone-a': 'region-a'}


def measure_entry_links() -> dict[str, Slope]:
    """Measures an entry by the number of stand-in agents linked to it."""
    return _measure_links('entry-zone-a-1', 'agents', 'entry', 'agent')


def measure_control_links() -> dict[str, Slope]:
    """Measures a control host by the number of stand-in entries linked to it."""
    return _measure_links('control-1', 'entries', 'control', 'entry')


def _measure_links(process_name: str, role: str, program: str, peer: str) -> dict[str, Slope]:
    with running_fleet(Deployment(zones=ONE_ZONE, engines_per_zone=0, services=0)) as fleet:
        fleet.wait_leader()
        windows = {
            count: _measure_with_standins(fleet, role, process_name, count)
            for count in LINK_COUNTS
        }
    processor = [(count, window.processor_share) for count, window in windows.items()]
    traffic = [(count, window.bytes_per_second) for count, window in windows.items()]
    memory = [(count, window.resident_bytes) for count, window in windows.items()]
    part, per = f'{program}-links', f'{peer} link'
    return {
        f'{program}_processor_per_{peer}': make_slope(processor, 'core', per, part),
        f'{program}_bytes_per_{peer}': make_slope(traffic, 'B/s', per, part),
        f'{program}_memory_per_{peer}': make_slope(memory, 'B', per, part),
    }


def _measure_with_standins(fleet: Fleet, role: str, process_name: str, count: int) -> WindowUsage:
    process = fleet.layout.processes[process_name]
    is_entry = process.kind is ProcessKind.entry
    name = f'standins-{role}-{count}'
    if count:
        start_standins(fleet, name, role, process.public_address(1 if is_entry else 0), count)
    time.sleep(SETTLE_SECONDS)
    metrics_address = process.public_address(0 if is_entry else 1)
    window = measure_window(fleet.children[process_name], metrics_address, WINDOW_SECONDS)
    if count:
        fleet.kill(name)
    return window


def measure_relay_links() -> dict[str, Slope]:
    """Measures a relay with stand-in entries, and the traffic of the control host behind it."""
    relay_points, control_points = [], []
    with running_fleet(Deployment(zones=ONE_ZONE, engines_per_zone=0, services=0)) as fleet:
        fleet.wait_leader()
        address = _start_relay(fleet)
        control = fleet.layout.processes['control-1']
        for count in LINK_COUNTS:
            name = f'standins-relay-{count}'
            if count:
                start_standins(fleet, name, 'entries', address, count)
            time.sleep(SETTLE_SECONDS)
            before = fleet.children['relay-1'].usage()
            window = measure_window(
                fleet.children['control-1'], control.public_address(1), WINDOW_SECONDS
            )
            after = fleet.children['relay-1'].usage()
            spent_seconds = after.processor_seconds - before.processor_seconds
            relay_points.append((count, spent_seconds / window.seconds, after.resident_bytes))
            control_points.append((count, window.bytes_per_second))
            if count:
                fleet.kill(name)
    processor = [(links, share) for links, share, _resident in relay_points]
    memory = [(links, resident) for links, _share, resident in relay_points]
    part = 'relay-links'
    return {
        'relay_processor_per_entry': make_slope(processor, 'core', 'entry link', part),
        'relay_memory_per_entry': make_slope(memory, 'B', 'entry link', part),
        'control_bytes_per_relayed_entry': make_slope(
            control_points, 'B/s', 'entry behind a relay', part
        ),
    }


def _start_relay(fleet: Fleet) -> str:
    control = fleet.layout.processes['control-1'].public_address(0)
    port = free_ports(1)[0]
    settings = {
        'host': {'name': 'relay-1', 'zone': 'zone-a', 'region': 'region-a'},
        'relay': {'control': [control], 'link_port': port},
    }
    path = fleet.folder / 'relay-1.yaml'
    path.write_text(yaml.safe_dump(settings), 'utf8')
    arguments = ['--settings', str(fleet.files.base_path), '--settings', str(path)]
    child = fleet.add_child('relay-1', 'jackdawsail.relay.main', arguments)
    child.start()
    child.wait_ready()
    return f'127.0.0.1:{port}'


def start_standins(fleet: Fleet, name: str, role: str, address: str, count: int) -> None:
    """Starts a process with ``count`` stand-ins of a role that link to ``address``."""
    arguments = [role, '--address', address, '--count', str(count), '--zone', 'zone-a']
    arguments += ['--seconds', str(STANDIN_LIFETIME_SECONDS), '--secret', SITE_SECRET]
    fleet.add_child(name, 'bench.standins', arguments).start()


def measure_rest() -> dict[str, RestFigures]:
    """Measures each program's time from start to ready and its memory without load."""
    with running_fleet(Deployment(zones=ONE_ZONE, engines_per_zone=1, services=0)) as fleet:
        fleet.wait_leader()
        time.sleep(SETTLE_SECONDS)
        processes = {
            'control': 'control-1',
            'entry': 'entry-zone-a-1',
            'agent': 'agent-zone-a-1',
        }
        return {
            program: RestFigures(
                ready_seconds=fleet.children[name].ready_seconds,
                resident_bytes=fleet.children[name].usage().resident_bytes,
            )
            for program, name in processes.items()
        }
