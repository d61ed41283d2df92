"""``jackdawsail part`` against a control host that answers as the product encodes it."""

import threading
from http.server import BaseHTTPRequestHandler, HTTPServer
from types import SimpleNamespace

import pytest

from jackdawsail.errors import UserError
from jackdawsail.group.operator_calls import with_operator_calls
from jackdawsail.http1.messages import make_request
from jackdawsail.ui.exit_codes import ExitCode
from jackdawsail.ui.main import make_app
from test.group.test_trait_evidence import BLOCK, World


class ControlHost(BaseHTTPRequestHandler):
    """Passes each request to the call handler of a control host without a network."""

    world = None
    codec = with_operator_calls(SimpleNamespace(decode=None, encode=None))

    def do_GET(self):  # noqa: N802
        self.respond()

    def do_DELETE(self):  # noqa: N802
        self.respond()

    def respond(self):
        request = make_request(self.command.encode(), 'c:80', self.path.encode())
        answer = self.codec.encode(self.world.ask(self.codec.decode(request)), request.target)
        self.send_response(answer.status)
        self.send_header('Content-Length', str(len(answer.body)))
        self.end_headers()
        self.wfile.write(answer.body)

    def log_message(self, *arguments):
        pass


@pytest.fixture
def run(capsys):
    ControlHost.world = World()
    ControlHost.world.receive(ControlHost.world.link(), BLOCK)
    server = HTTPServer(('127.0.0.1', 0), ControlHost)
    threading.Thread(target=server.serve_forever, daemon=True).start()

    def run_command(*arguments):
        command = [*arguments, '--control', f'127.0.0.1:{server.server_port}']
        make_app()(command, result_action='return_value')
        return capsys.readouterr().out

    yield run_command
    server.shutdown()
    server.server_close()


def test_blocked_parts_are_listed_and_one_is_lifted(run):
    assert 'bad' in run('block', 'list')
    assert 'lifted' in run('block', 'lift', 'bad')
    assert ControlHost.world.stored == ()
    assert '"items": []' in run('block', 'list', '--json')


def test_a_part_that_is_not_blocked_is_reported_as_not_found(run):
    with pytest.raises(UserError) as error:
        run('block', 'lift', 'other')
    assert error.value.exit_code == ExitCode.not_found
