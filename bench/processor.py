"""Processor time of one entry and one agent of a site, by what they do.

Starts each as a process on loopback beside stand-ins of the control hosts, the engines, the agents
and the callers, at the rates of a site with 38 entries and 26 engines. Prints the processor time
until the process is ready, at rest a second, and for each datagram, summary and so on: what
a phase with it costs over a phase without. ``--profile`` writes cProfile figures instead.
"""

import os
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

from twisted.internet.defer import Deferred, ensureDeferred

from bench import processor_site as site
from jackdawsail.events import configure_logging
from jackdawsail.platform.settings import PATH_VARIABLE

ADDRESS = '127.0.8.1'
NANOSECOND = 1e-9
READY = b'"number": 100,'
Phase = tuple[str, float, Callable[[], int]]


def run(phase_seconds: float = 5.0, starts: int = 5, *, profile: str = '') -> int:
    """Prints the figures; each phase lasts ``phase_seconds``, ``starts`` processes are started."""
    for name in ('entry', 'agent', 'control'):
        seconds = min(_start_seconds(name) for _ in range(starts))
        print(f'{name:8} start to ready {seconds:8.3f} s')  # noqa: T201
    configure_logging('bench', 'processor', 'error')
    stand_ins = site.Site()
    stand_ins.listen()
    work = _measure(stand_ins, phase_seconds, profile)
    failures: list[Any] = []
    done = ensureDeferred(work).addErrback(failures.append)
    done.addBoth(lambda _outcome: site.REACTOR.stop())
    site.REACTOR.run()
    for failure in failures:
        print(failure.getTraceback(), file=sys.stderr)  # noqa: T201
    return len(failures)


async def _measure(stand_ins: site.Site, seconds: float, profile: str) -> None:
    caller_address = ADDRESS
    entry: tuple[Phase, ...] = (
        ('summary', 1 / site.SUMMARY_SECONDS, stand_ins.send_summary),
        ('registrations', 1 / site.BATCH_SECONDS, stand_ins.send_registrations),
        ('datagram', 12.0, lambda: stand_ins.send_load(ADDRESS)),
        ('call', 6.0, lambda: stand_ins.call(caller_address)),
    )
    agent: tuple[Phase, ...] = (
        ('summary', 1 / site.SUMMARY_SECONDS, stand_ins.send_summary),
        ('state', 12.0, stand_ins.engine.change_state),
    )
    for name, phases in (('entry', entry), ('agent', agent)):
        with _process(name, profile) as child:
            await _after(3.0)
            await _run_phases(stand_ins, child.pid, (name, seconds), phases)
        await _after(0.5)


async def _run_phases(
    stand_ins: site.Site, pid: int, named: tuple[str, float], phases: tuple[Phase, ...]
) -> None:
    """Adds one kind of load after the other; each one's cost is what the sum grows by."""
    name, seconds = named
    stand_ins.send_summary()
    previous = await _phase(pid, seconds)
    print(f'{name:8} at rest        {previous / seconds * 1e3:8.2f} ms a second')  # noqa: T201
    for kind, per_second, send in phases:
        stand_ins.send(kind, per_second, send)
        await _after(0.7)
        before = stand_ins.counts[kind]
        spent = await _phase(pid, seconds)
        count = stand_ins.counts[kind] - before
        each = (spent - previous) / max(1, count) * 1e6
        print(f'{name:8} {kind:14} {each:8.1f} us, {count / seconds:.0f} a second')  # noqa: T201
        previous = spent
    print(f'{name:8} with all       {previous / seconds * 1e3:8.2f} ms a second')  # noqa: T201
    print(
        f'{name:8} answered calls {site.CallerStandIn.answered}, refused {site.CallerStandIn.refused}'
    )  # noqa: T201
    stand_ins.quiet()


async def _phase(pid: int, seconds: float) -> float:
    before = _processor_seconds(pid)
    await _after(seconds)
    return _processor_seconds(pid) - before


def _after(seconds: float) -> Deferred[None]:
    waited: Deferred[None] = Deferred()
    site.REACTOR.callLater(seconds, waited.callback, None)
    return waited


def _processor_seconds(pid: int) -> float:
    return int(Path(f'/proc/{pid}/schedstat').read_text().split()[0]) * NANOSECOND


def _start_seconds(name: str) -> float:
    """Returns the processor time of a process until it logs that it is ready."""
    with _process(name, '') as child:
        for line in child.stdout:
            if READY in line:
                break
        return _processor_seconds(child.pid)


@contextmanager
def _process(name: str, profile: str) -> Iterator[Any]:
    """Runs one program of a site; with ``profile`` writes its cProfile figures there at its end."""
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / 'settings'
        path.write_text(_settings(name, folder))
        output = ['-m', 'cProfile', '-o', f'{profile}-{name}'] if profile else []
        log: Any = subprocess.DEVNULL if profile else subprocess.PIPE
        command = [sys.executable, *output, '-m', 'jackdawsail.platform.programs', name]
        child = subprocess.Popen(command, env={**os.environ, PATH_VARIABLE: str(path)}, stdout=log)
        try:
            yield child
        finally:
            child.send_signal(signal.SIGTERM)
            _wait(child)


def _wait(child: Any) -> None:
    end_seconds = time.monotonic() + 8
    while child.poll() is None and time.monotonic() < end_seconds:
        time.sleep(0.05)
    child.kill()
    child.wait()


def _settings(name: str, folder: str) -> str:
    lines = [
        f'node_name={name}-1', f'ip={ADDRESS}', 'zone=z1', 'region=r1', 'zones.z1=r1',
        f'internal_ports={site.LINK_PORT},{site.LINK_PORT + 20}',
        f'seeds={",".join(f"{host}:9" for host in site.CONTROLS)}',
        'bounds.version_ms=8000', 'limits.link_mbps=20',
    ]  # fmt: skip
    if name == 'entry':
        lines += [f'listen.front={ADDRESS}:{site.CALLER_PORT}', f'listen.ready={ADDRESS}:47392']
    elif name == 'agent':
        lines += [f'app={site.ENGINE_ADDRESS}', 'service=s']
    else:
        lines += [f'data_dir={folder}', 'bootstrap=true', f'listen.control={ADDRESS}:47393']
        lines += ['limits.link_mbps=170']
    return '\n'.join(lines)
