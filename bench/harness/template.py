"""A template process that has the libraries loaded and forks the processes of a fleet.

Starting a program from nothing costs about a second of processor time, most of it
imports. Scenarios start hundreds, so they fork them from this template; experiments
that measure starts or memory start each program anew. The template reads one JSON
request a line on its standard input and answers each with one line. The reactor is
never imported here: each child installs its own.
"""

import importlib
import json
import os
import runpy
import signal
import subprocess
import sys
from typing import Any, TextIO

from bench.harness.deathsignal import end_with_parent

PRELOADED = (
    'jackdawsail.control.context',
    'jackdawsail.control.admin_http',
    'jackdawsail.entry.program',
    'jackdawsail.agent.program',
    'bench.fakes.web',
    'bench.fakes.exchange',
    'bench.proxy.rules',
)
REACTOR = 'twisted.internet.reactor'


class Template:
    """The harness's end: asks the template for processes and for their exit codes."""

    def __init__(self, environment: dict[str, str]) -> None:
        self._process = subprocess.Popen(
            [sys.executable, '-m', 'bench.harness.template'],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
            env=environment,
            start_new_session=True,
            preexec_fn=end_with_parent,
        )

    def start(self, module: str, arguments: list[str], log_path: str) -> int:
        """Starts a program and returns its process id."""
        request = {'module': module, 'arguments': arguments, 'log_path': log_path}
        return int(self._ask(request)['pid'])

    def poll(self, pid: int) -> int | None:
        """Returns the exit code of a process that has ended; negative for a signal."""
        code: int | None = self._ask({'poll': pid})['code']
        return code

    def close(self) -> None:
        """Ends the template, and with it every process that it has started."""
        self._process.kill()
        self._process.communicate()

    def _ask(self, request: dict[str, Any]) -> Any:
        pipes = self._process
        if pipes.stdin is None or pipes.stdout is None:
            raise AssertionError('the template has no pipes')
        pipes.stdin.write(f'{json.dumps(request)}\n')
        pipes.stdin.flush()
        return json.loads(pipes.stdout.readline())


def _serve(requests: TextIO, answers: TextIO) -> None:
    codes: dict[int, int] = {}
    for line in requests:
        request = json.loads(line)
        if 'poll' in request:
            answer: dict[str, Any] = {'code': _poll(request['poll'], codes)}
        else:
            answer = {'pid': _fork(request)}
        answers.write(f'{json.dumps(answer)}\n')
        answers.flush()


def _poll(pid: int, codes: dict[int, int]) -> int | None:
    if pid not in codes:
        ended, status = os.waitpid(pid, os.WNOHANG)
        if ended:
            codes[pid] = os.waitstatus_to_exitcode(status)
    return codes.get(pid)


def _fork(request: dict[str, Any]) -> int:
    pid = os.fork()
    if pid:
        return pid
    code = 1
    try:
        code = _run(request)
    finally:
        sys.stderr.flush()
        os._exit(code)


def _run(request: dict[str, Any]) -> int:
    end_with_parent()
    os.setsid()
    signal.signal(signal.SIGINT, signal.default_int_handler)
    log = os.open(request['log_path'], os.O_WRONLY | os.O_APPEND | os.O_CREAT)
    nothing = os.open(os.devnull, os.O_RDONLY)
    for source, target in ((nothing, 0), (log, 1), (log, 2)):
        os.dup2(source, target)
    sys.argv = [request['module'], *request['arguments']]
    try:
        runpy.run_module(request['module'], run_name='__main__', alter_sys=True)
    except SystemExit as ended:
        return ended.code if isinstance(ended.code, int) else int(bool(ended.code))
    return 0


def main() -> None:
    """Loads the libraries and serves until the standard input ends."""
    for name in PRELOADED:
        importlib.import_module(name)
    if REACTOR in sys.modules:
        raise AssertionError('the template must not import the reactor')
    _serve(sys.stdin, sys.stdout)


if __name__ == '__main__':
    main()
