"""``jackdawsail customer``, ``site`` and ``operator``: manage these records of the deployment."""

import hashlib
import secrets
from dataclasses import dataclass
from typing import Annotated, Any, Literal

import cyclopts
from cyclopts import Parameter

from jackdawsail.ui.options import Options, make_table

TOKEN_BYTES = 32
DEFAULT_OPTIONS = Options()

customer_app = cyclopts.App(
    name='customer', help='Manage customers, their shares and their limits.'
)
site_app = cyclopts.App(name='site', help='Manage site deployments.')
operator_app = cyclopts.App(name='operator', help='Manage operators and their roles.')


@Parameter(name='*')
@dataclass(frozen=True, slots=True)
class CustomerLimits:
    """Limits of a customer; None leaves a limit unchanged."""

    weight: float | None = None
    requests_per_second: float | None = None
    max_concurrent: int | None = None
    token_digest: Annotated[
        str | None, Parameter(help='SHA-256 of the customer token, in hex.')
    ] = None


NO_LIMITS = CustomerLimits()

BackendNames = Annotated[
    list[str],
    Parameter(name='--backend', negative=(), help='Back end that runs there; repeat for several.'),
]


@customer_app.command(name='put')
def put_customer(
    name: str,
    *,
    limits: CustomerLimits = NO_LIMITS,
    new_token: Annotated[bool, Parameter(help='Generate a new token and print it once.')] = False,
    options: Options = DEFAULT_OPTIONS,
) -> None:
    """Adds a customer or changes some of its limits."""
    token = secrets.token_urlsafe(TOKEN_BYTES) if new_token else ''
    new_limits = {
        'weight': limits.weight,
        'requests_per_second': limits.requests_per_second,
        'max_concurrent': limits.max_concurrent,
        'token_digest': _hash_token(token) if token else limits.token_digest,
    }
    current = _current_limits(options, name)
    fields = current | {key: new_limits[key] for key in new_limits if new_limits[key] is not None}
    accepted = options.command('customer-put', {'name': name, **fields})
    _print_with_token(options, accepted, f'customer {name}', token)


@customer_app.command(name='list')
def list_customers(*, options: Options = DEFAULT_OPTIONS) -> None:
    """Lists the customers."""
    page = options.client().listing('/v1/customers')
    columns = ['name', 'weight', 'requests_per_second', 'max_concurrent']
    options.show(page, make_table('customers', columns, page['items']))


@customer_app.command(name='remove')
def remove_customer(name: str, *, options: Options = DEFAULT_OPTIONS) -> None:
    """Removes a customer; its further requests are refused."""
    options.change('customer-remove', {'name': name}, f'customer {name} removed')


@site_app.command(name='put')
def put_site(
    name: str, *, zone: str, backends: BackendNames, options: Options = DEFAULT_OPTIONS
) -> None:
    """Adds or changes a site deployment."""
    fields = {'name': name, 'zone': zone, 'backends': backends}
    options.change('site-put', fields, f'site {name} put')


@site_app.command(name='list')
def list_sites(*, options: Options = DEFAULT_OPTIONS) -> None:
    """Lists the site deployments."""
    page = options.client().listing('/v1/sites')
    options.show(page, make_table('sites', ['name', 'zone', 'backends'], page['items']))


@site_app.command(name='remove')
def remove_site(name: str, *, options: Options = DEFAULT_OPTIONS) -> None:
    """Removes a site deployment."""
    options.change('site-remove', {'name': name}, f'site {name} removed')


@operator_app.command(name='put')
def put_operator(
    name: str,
    *,
    role: Literal['read', 'operate', 'administer'] = 'read',
    options: Options = DEFAULT_OPTIONS,
) -> None:
    """Adds an operator or replaces its token, which is printed once."""
    token = secrets.token_urlsafe(TOKEN_BYTES)
    fields = {'name': name, 'role': role, 'token_digest': _hash_token(token)}
    accepted = options.command('operator-put', fields)
    _print_with_token(options, accepted, f'operator {name}', token)


@operator_app.command(name='remove')
def remove_operator(name: str, *, options: Options = DEFAULT_OPTIONS) -> None:
    """Removes an operator; its token becomes invalid."""
    fields = {'name': name, 'role': 'read', 'token_digest': ''}
    options.change('operator-put', fields, f'operator {name} removed')


def _current_limits(options: Options, name: str) -> dict[str, Any]:
    page = options.client().listing('/v1/customers')
    matching = [current for current in page['items'] if current['name'] == name]
    return {key: matching[0][key] for key in matching[0] if key != 'name'} if matching else {}


def _hash_token(token: str) -> str:
    return hashlib.sha256(token.encode()).hexdigest()


def _print_with_token(
    options: Options, accepted: dict[str, Any], subject: str, token: str
) -> None:
    document = {**accepted, 'token': token} if token else accepted
    token_line = f'\ntoken, printed only once: {token}' if token else ''
    options.show(document, f'{subject} put (revision {accepted["revision"]}){token_line}')
