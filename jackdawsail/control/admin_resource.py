"""The resource of the administration API: routing, authentication and the leader check."""

from http import HTTPStatus
from typing import Any
from urllib.parse import unquote

from returns.result import Failure, Result, Success
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET, Request

from jackdawsail import events
from jackdawsail.control.admin_auth import AuthenticatedOperator, authenticate, require_role
from jackdawsail.control.admin_commands import ParsedCommand, make_answer, parse_command
from jackdawsail.control.admin_http import Problem, make_problem, write_json, write_problem
from jackdawsail.control.admin_queries import MAX_PAGE_SIZE, PAGE_SIZE, Page, Queries
from jackdawsail.control.admin_watch import Watchers
from jackdawsail.control.proposer import Proposer
from jackdawsail.state.commands import ZoneOut

COMMAND_ANSWERED = events.define(600, 'info', 'administration command answered')

_LIST_KINDS = {
    'releases': 'release',
    'customers': 'customer',
    'zones': 'zone',
    'sites': 'site',
    'hosts': 'host',
    'backends': 'backend',
}


class AdminResource(Resource):
    """Serves every path below ``/v1``; a follower refuses and names the leader."""

    isLeaf = True  # noqa: N815 - Twisted's name

    def __init__(
        self, queries: Queries, proposer: Proposer, watchers: Watchers, bootstrap_token: str
    ) -> None:
        super().__init__()
        self._queries = queries
        self._proposer = proposer
        self._watchers = watchers
        self._bootstrap_token = bootstrap_token

    def render(self, request: Request) -> int:
        """Answers a request; commands and watches are answered asynchronously."""
        authenticated = self._check(request)
        if not isinstance(authenticated, Success):
            write_problem(request, authenticated.failure())
            return NOT_DONE_YET
        if request.method == b'POST':
            self._post(request, authenticated.unwrap())
        else:
            self._get(request)
        return NOT_DONE_YET

    def _check(self, request: Request) -> Result[AuthenticatedOperator, Problem]:
        state = self._queries.leader_tasks.lease_handler.state
        operator = authenticate(request, state, self._bootstrap_token)
        if (
            isinstance(operator, Success)
            and not self._queries.leader_tasks.lease_handler.check_leadership()
        ):
            return Failure(self._misdirected())
        return operator.bind(lambda authenticated: require_role(authenticated, 'read'))

    def _get(self, request: Request) -> None:
        path, page = _path(request), _page(request)
        if page is None:
            detail = 'after, limit or revision is invalid'
            write_problem(request, make_problem(HTTPStatus.BAD_REQUEST, 'invalid', detail))
        elif path == ['watch']:
            self._watchers.add(request, int(_argument(request, 'revision', '0')))
        else:
            document = self._look_up(path, page)
            if document is None:
                write_problem(request, _not_found('/'.join(path)))
            else:
                write_json(request, document)

    def _look_up(self, path: list[str], page: Page) -> dict[str, Any] | None:
        """Returns the document at a path, or None if the path does not exist."""
        document: dict[str, Any] | None = None
        match path:
            case ['status']:
                document = self._queries.status()
            case ['audit']:
                document = self._queries.audit(page)
            case ['calls', customer, key]:
                document = self._queries.call(customer, key)
            case [plural] if plural in _LIST_KINDS:
                document = self._queries.listing(_LIST_KINDS[plural], page)
            case [plural, name] if plural in _LIST_KINDS:
                document = self._queries.describe(_LIST_KINDS[plural], name)
        return document

    def _post(self, request: Request, operator: AuthenticatedOperator) -> None:
        path = _path(request)
        if path not in (['commands'], ['preview']):
            write_problem(request, _not_found('/'.join(path)))
            return
        raw = request.content.read() if request.content else b''
        parsed = parse_command(raw).bind(lambda command: self._allow(command, operator))
        if isinstance(parsed, Failure):
            write_problem(request, parsed.failure())
        elif path == ['preview']:
            write_json(request, self._queries.preview(parsed.unwrap().body))
        else:
            self._propose(request, operator, parsed.unwrap())

    def _propose(
        self, request: Request, operator: AuthenticatedOperator, command: ParsedCommand
    ) -> None:
        proposed = self._proposer.submit(
            operator.name, command.request_id, command.expected_revision, command.body
        )
        disconnect_reasons: list[Any] = []
        request.notifyFinish().addErrback(disconnect_reasons.append)
        proposed.addCallback(self._answer, request, disconnect_reasons)

    def _answer(self, outcome: Any, request: Request, disconnect_reasons: list[Any]) -> None:
        if disconnect_reasons:
            return
        if not isinstance(outcome, Success):
            write_problem(request, _not_committed(outcome.failure()))
            return
        answer = make_answer(outcome.unwrap())
        if isinstance(answer, Problem):
            events.log(COMMAND_ANSWERED, code=answer.code)
            write_problem(request, answer)
        else:
            document, status = answer
            events.log(COMMAND_ANSWERED, code='accepted', revision=document['revision'])
            write_json(request, document, status)

    def _allow(
        self, command: ParsedCommand, operator: AuthenticatedOperator
    ) -> Result[ParsedCommand, Problem]:
        allowed = require_role(operator, command.role)
        body = command.body
        if not isinstance(allowed, Success):
            return Failure(allowed.failure())
        if self._queries.leader_tasks.is_seeding():
            detail = 'the state is empty and takes the settings of the control host first'
            return Failure(_not_settled(detail))
        is_resend = self._was_answered(operator, command)
        if not isinstance(body, ZoneOut) or body.force or is_resend:
            return Success(command)
        return self._allow_zone_out(command, body)

    def _was_answered(self, operator: AuthenticatedOperator, command: ParsedCommand) -> bool:
        return self._queries.tables.has_answer(operator.name, command.request_id)

    def _allow_zone_out(
        self, command: ParsedCommand, body: ZoneOut
    ) -> Result[ParsedCommand, Problem]:
        leader_tasks = self._queries.leader_tasks
        now_seconds = leader_tasks.lease_handler.reactor.seconds()
        other_zones = [
            view for view in leader_tasks.live_zones(now_seconds) if view.name != body.name
        ]
        if any(view.is_serving for view in other_zones):
            return Success(command)
        lacks_report = any(view.summary_age_seconds is None for view in other_zones)
        if lacks_report or not leader_tasks.lease_handler.leases.is_settled(now_seconds):
            detail = 'the leader is new and has not heard every data centre yet'
            return Failure(_not_settled(detail))
        detail = f'no other data centre than {body.name} has a serving upstream; force it if meant'
        return Failure(make_problem(HTTPStatus.CONFLICT, 'last-zone', detail))

    def _misdirected(self) -> Problem:
        leader = self._proposer.replicator.leader_name()
        return make_problem(
            HTTPStatus.MISDIRECTED_REQUEST,
            'not-leader',
            f'the leader is {leader or "not known"}',
            leader=leader,
        )


def _path(request: Request) -> list[str]:
    parts = request.path.decode('utf8', 'replace').strip('/').split('/')
    return [unquote(part) for part in parts[1:]] if parts[0] == 'v1' else []


def _argument(request: Request, name: str, default: str) -> str:
    argument = request.args.get(name.encode(), [default.encode()])[0]
    return argument.decode('utf8', 'replace')


def _page(request: Request) -> Page | None:
    """Parses the paging arguments; None unless all numbers are decimal and of 19 digits at most."""
    after = _argument(request, 'after', '')
    limit = _argument(request, 'limit', str(PAGE_SIZE))
    revision = _argument(request, 'revision', '0')
    numbers = [limit, revision]
    if _path(request) == ['audit']:
        numbers.append(after or '0')
    if not all(number.isascii() and number.isdigit() for number in numbers):
        return None
    if max(len(number) for number in numbers) > len(str(2**63)):
        return None
    return Page(after, max(1, min(int(limit), MAX_PAGE_SIZE)))


def _not_found(what: str) -> Problem:
    return make_problem(HTTPStatus.NOT_FOUND, 'not-found', f'{what} does not exist')


def _not_settled(detail: str) -> Problem:
    return make_problem(HTTPStatus.SERVICE_UNAVAILABLE, 'not-settled', detail)


def _not_committed(error: Any) -> Problem:
    code = 'maybe-applied' if error.maybe_applied else 'not-applied'
    detail = f'{error.reason}; send it again under the same request id'
    return make_problem(HTTPStatus.SERVICE_UNAVAILABLE, code, detail, leader=error.leader)
