"""Parses the commands of ``POST /v1/commands`` and encodes their outcome."""

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

_OPERATE_COMMANDS = (
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
_ADMINISTER_COMMANDS = (
    commands.CustomerPut,
    commands.CustomerRemove,
    commands.SitePut,
    commands.SiteRemove,
    commands.OperatorPut,
    VotersChange,
)
_STATUS_BY_CODE = {
    'not-found': HTTPStatus.NOT_FOUND,
    'exists': HTTPStatus.CONFLICT,
    'state': HTTPStatus.CONFLICT,
    'last-zone': HTTPStatus.CONFLICT,
}
MAX_FAULTS_SHOWN = 20


class CommandBody(BaseModel):
    """The JSON body: the fields of the envelope; extra fields belong to the command."""

    model_config = ConfigDict(extra='allow')

    request_id: str = Field(min_length=1, max_length=128)
    expected_revision: int | None = Field(default=None, ge=0)
    kind: str


@dataclass(frozen=True, slots=True)
class CommandType:
    """The class, the validator and the required role of one kind of command."""

    command_class: type[Any]
    role: str
    adapter: TypeAdapter[Any]


@dataclass(frozen=True, slots=True)
class ParsedCommand:
    """A valid command with the fields of its envelope and the role that it requires."""

    request_id: str
    expected_revision: int | None
    role: str
    body: Any


COMMAND_TYPES = {
    tag_of(command_class): CommandType(command_class, role, TypeAdapter(command_class))
    for role, group in (('operate', _OPERATE_COMMANDS), ('administer', _ADMINISTER_COMMANDS))
    for command_class in group
}


def parse_command(raw: bytes) -> Result[ParsedCommand, Problem]:
    """Parses and validates the body of a request; never raises for malformed input."""
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
        lambda command: ParsedCommand(
            body.request_id,
            body.expected_revision,
            role or COMMAND_TYPES[body.kind].role,
            command,
        )
    )


def _parse_fields(kind: str, fields: dict[str, Any]) -> Result[Any, Problem]:
    command_type = COMMAND_TYPES.get(kind)
    if command_type is None:
        return Failure(_invalid([_unknown_name('kind', kind, [*COMMAND_TYPES, 'apply'])]))
    known = [field.name for field in dataclasses.fields(command_type.command_class)]
    unknown = [_unknown_name('field', name, known) for name in fields if name not in known]
    if unknown:
        return Failure(_invalid(unknown))
    try:
        return Success(command_type.adapter.validate_python(fields))
    except ValidationError as error:
        return Failure(_invalid(_faults(error)))


def _parse_apply(fields: dict[str, Any]) -> Result[Any, Problem]:
    document = fields.get('document')
    if not isinstance(document, dict) or fields.keys() - {'document', 'prune'}:
        return Failure(_invalid(['apply takes the fields document and prune']))
    prune = fields.get('prune') is True
    return (
        records_from_document(document)
        .map(lambda records: commands.Apply(records, prune))
        .alt(_invalid)
    )


@singledispatch
def make_answer(reply: Any) -> tuple[dict[str, Any], HTTPStatus] | Problem:
    """Converts a reply of the state machine to a JSON document and status, or to a problem."""
    raise AssertionError(f'no answer for {reply!r}')


@make_answer.register
def _accepted(reply: Accepted) -> tuple[dict[str, Any], HTTPStatus] | Problem:
    return {'outcome': 'accepted', **as_plain(reply)}, HTTPStatus.OK


@make_answer.register
def _conflict(reply: Conflict) -> tuple[dict[str, Any], HTTPStatus] | Problem:
    return make_problem(
        HTTPStatus.CONFLICT,
        'conflict',
        f'revision {reply.expected_revision} was expected, {reply.revision} is in force',
        revision=reply.revision,
        expected_revision=reply.expected_revision,
        differences=reply.differences,
    )


@make_answer.register
def _rejected(reply: Rejected) -> tuple[dict[str, Any], HTTPStatus] | Problem:
    status = _STATUS_BY_CODE.get(reply.code, HTTPStatus.UNPROCESSABLE_ENTITY)
    return make_problem(status, reply.code, reply.reason)


def _invalid(faults: list[str]) -> Problem:
    return make_problem(HTTPStatus.BAD_REQUEST, 'invalid', '; '.join(faults)[:2000], faults=faults)


def _faults(error: ValidationError) -> list[str]:
    return [
        f'{".".join(str(part) for part in fault["loc"])}: {fault["msg"]}'
        for fault in error.errors(include_url=False, include_input=False)[:MAX_FAULTS_SHOWN]
    ]


def _unknown_name(kind_of_name: str, name: str, known: list[str]) -> str:
    nearest = difflib.get_close_matches(name[:100], known, n=1, cutoff=0)
    hint = f', perhaps {nearest[0]!r} was meant' if nearest else ''
    return f'unknown {kind_of_name} {name[:100]!r}{hint}'
