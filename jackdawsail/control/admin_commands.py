"""``POST /v1/commands``: validates a command, proposes it and answers with its outcome."""

import dataclasses
import difflib
import json
from dataclasses import dataclass
from functools import singledispatch
from http import HTTPStatus
from typing import Any

from pydantic import BaseModel, ConfigDict, Field, TypeAdapter, ValidationError
from returns.result import Failure, Result, Success

from jackdawsail.control.admin_http import Problem, make_problem
from jackdawsail.state import commands
from jackdawsail.state.documents import records_from_document
from jackdawsail.state.replies import Accepted, Conflict, Rejected
from jackdawsail.state.voter_command import VotersChange
from jackdawsail.wire.codec import as_plain, tag_of

_OPERATE = (
    commands.ReleaseCreate,
    commands.ReleaseStart,
    commands.ReleasePause,
    commands.ReleaseResume,
    commands.ReleaseAbort,
    commands.ZoneOut,
    commands.ZoneIn,
    commands.HostOut,
    commands.HostIn,
)
_ADMINISTER = (
    commands.CustomerPut,
    commands.CustomerRemove,
    commands.SitePut,
    commands.SiteRemove,
    commands.OperatorPut,
    VotersChange,
)
_STATUSES = {
    'not-found': HTTPStatus.NOT_FOUND,
    'exists': HTTPStatus.CONFLICT,
    'state': HTTPStatus.CONFLICT,
    'last-zone': HTTPStatus.CONFLICT,
}
MAX_FAULTS_SHOWN = 20


class CommandBody(BaseModel):
    """The JSON body: the envelope's fields; what is left are the command's own."""

    model_config = ConfigDict(extra='allow')

    request_id: str = Field(min_length=1, max_length=128)
    expected_revision: int | None = Field(default=None, ge=0)
    kind: str


@dataclass(frozen=True, slots=True)
class CommandType:
    """How one kind of command is validated, and who may send it."""

    made_of: type[Any]
    role: str
    adapter: TypeAdapter[Any]


@dataclass(frozen=True, slots=True)
class ParsedCommand:
    """A valid command and the envelope's fields."""

    request_id: str
    expected_revision: int | None
    role: str
    body: Any


COMMAND_TYPES = {
    tag_of(made_of): CommandType(made_of, role, TypeAdapter(made_of))
    for role, group in (('operate', _OPERATE), ('administer', _ADMINISTER))
    for made_of in group
}


def parse_command(raw: bytes) -> Result[ParsedCommand, Problem]:
    """Parses and validates the body of a request; every fault is a value."""
    try:
        body = CommandBody.model_validate(json.loads(raw))
    except ValidationError as error:
        return Failure(_invalid(_faults(error)))
    except (ValueError, RecursionError) as error:
        return Failure(_invalid([f'not JSON: {error}']))
    fields = body.model_extra or {}
    parsed = _parse_apply(fields) if body.kind == 'apply' else _parse_fields(body.kind, fields)
    role = 'administer' if body.kind == 'apply' else ''
    return parsed.map(
        lambda made: ParsedCommand(
            body.request_id,
            body.expected_revision,
            role or COMMAND_TYPES[body.kind].role,
            made,
        )
    )


def _parse_fields(kind: str, fields: dict[str, Any]) -> Result[Any, Problem]:
    found = COMMAND_TYPES.get(kind)
    if found is None:
        return Failure(_invalid([_unknown('kind', kind, [*COMMAND_TYPES, 'apply'])]))
    known = [field.name for field in dataclasses.fields(found.made_of)]
    unknown = [_unknown('field', name, known) for name in fields if name not in known]
    if unknown:
        return Failure(_invalid(unknown))
    try:
        return Success(found.adapter.validate_python(fields))
    except ValidationError as error:
        return Failure(_invalid(_faults(error)))


def _parse_apply(fields: dict[str, Any]) -> Result[Any, Problem]:
    document = fields.get('document')
    if not isinstance(document, dict) or fields.keys() - {'document', 'prune'}:
        return Failure(_invalid(['apply takes the fields document and prune']))
    prune = fields.get('prune') is True
    return (
        records_from_document(document).map(lambda made: commands.Apply(made, prune)).alt(_invalid)
    )


@singledispatch
def answer_of(reply: Any) -> tuple[dict[str, Any], HTTPStatus] | Problem:
    """Turns the state machine's reply into an HTTP answer."""
    raise AssertionError(f'no answer for {reply!r}')


@answer_of.register
def _accepted(reply: Accepted) -> tuple[dict[str, Any], HTTPStatus] | Problem:
    return {'outcome': 'accepted', **as_plain(reply)}, HTTPStatus.OK


@answer_of.register
def _conflict(reply: Conflict) -> tuple[dict[str, Any], HTTPStatus] | Problem:
    return make_problem(
        HTTPStatus.CONFLICT,
        'conflict',
        f'revision {reply.expected_revision} was expected, {reply.revision} is in force',
        revision=reply.revision,
        expected_revision=reply.expected_revision,
        differences=reply.differences,
    )


@answer_of.register
def _rejected(reply: Rejected) -> tuple[dict[str, Any], HTTPStatus] | Problem:
    status = _STATUSES.get(reply.code, HTTPStatus.UNPROCESSABLE_ENTITY)
    return make_problem(status, reply.code, reply.reason)


def _invalid(faults: list[str]) -> Problem:
    return make_problem(HTTPStatus.BAD_REQUEST, 'invalid', '; '.join(faults)[:2000], faults=faults)


def _faults(error: ValidationError) -> list[str]:
    return [
        f'{".".join(str(part) for part in found["loc"])}: {found["msg"]}'
        for found in error.errors(include_url=False, include_input=False)[:MAX_FAULTS_SHOWN]
    ]


def _unknown(what: str, name: str, known: list[str]) -> str:
    nearest = difflib.get_close_matches(name[:100], known, n=1, cutoff=0)
    hint = f', perhaps {nearest[0]!r} was meant' if nearest else ''
    return f'unknown {what} {name[:100]!r}{hint}'
