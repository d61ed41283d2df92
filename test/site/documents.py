"""Builds site documents for tests."""

from jackdawsail.site.document import (
    CallKind,
    Customer,
    EngineClass,
    Route,
    Service,
    Share,
    SiteDocument,
)

ENGINE = EngineClass(
    slots=16,
    memory_tokens=1_640_000,
    step_seconds=0.00673,
    step_per_request_seconds=0.0000219,
    prompt_tokens_per_second=30_600,
    steps_per_pass=6,
    usual_prompt_tokens=964,
    usual_answer_tokens=119,
    layers=16,
    layer_megabytes=4540,
    memory_megabytes=282_000,
    chunks=4,
    chunk_bytes=32,
    models=('m',),
)


def make_route(name='r', **changes):
    fields = {
        'name': name,
        'host': 'a.example',
        'path_prefix': '/p/',
        'kind': CallKind.idempotent,
        'time_limit_seconds': 2.0,
        'target_seconds': 0.2,
        'urgency_rank': 1,
        'shares': (Share('s', 1),),
        'max_upstreams': 2,
    }
    return Route(**{**fields, **changes})


def make_document(version=1, routes=None, services=None, customers=()):
    return SiteDocument(
        version=version,
        routes=tuple(routes if routes is not None else [make_route()]),
        services=tuple(services if services is not None else [Service('s')]),
        customers=tuple(customers),
    )


def make_customer(name, *keys):
    return Customer(name, keys)
