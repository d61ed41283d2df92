"""A template process that imports the libraries once and forks the processes of a fleet.

Starting a program in a new interpreter costs about a second of processor time, most
of it for imports. Scenarios start hundreds of programs, so they fork them from this
template; experiments that measure start-up or memory start each program in a new
interpreter. The template reads one JSON request per line from standard input and
answers each with one line. The reactor must not be imported here, because each child
installs its own.
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

PRELOADED_MODULES = (
    'jackdawsail.control.context',
    'jackdawsail.control.admin_http',
    'jackdawsail.entry.program',
    'jackdawsail.agent.program',
    'bench.fakes.web',
    'bench.fakes.exchange',
    'bench.proxy.rules',
)
REACTOR_MODULE = 'twisted.internet.reactor'


class Template:
    """Client of a template process: starts programs and polls their exit codes."""

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
        return int(self._request(request)['pid'])

    def poll(self, pid: int) -> int | None:
        """Returns the exit code, negative for a signal; None while the process runs."""
        code: int | None = self._request({'poll': pid})['code']
        return code

    def close(self) -> None:
        """Kills the template and with it every process that it has started."""
        self._process.kill()
        self._process.communicate()

    def _request(self, request: dict[str, Any]) -> Any:
        pipes = self._process
        if pipes.stdin is None or pipes.stdout is None:
            raise AssertionError('the template process has no pipes')
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
    null_input = os.open(os.devnull, os.O_RDONLY)
    for source, target in ((null_input, 0), (log, 1), (log, 2)):
        os.dup2(source, target)
    sys.argv = [request['module'], *request['arguments']]
    try:
        runpy.run_module(request['module'], run_name='__main__', alter_sys=True)
    except SystemExit as ended:
        return ended.code if isinstance(ended.code, int) else int(bool(ended.code))
    return 0


def main() -> None:
    """Imports the libraries and serves requests until standard input ends."""
    for name in PRELOADED_MODULES:
        importlib.import_module(name)
    if REACTOR_MODULE in sys.modules:
        raise AssertionError('the template must not import the reactor')
    _serve(sys.stdin, sys.stdout)


if __name__ == '__main__':
    main()
