"""Converts the shared sections of a settings document to the records of ``Apply``."""

from typing import Any

from pydantic import Field, ValidationError
from returns.result import Failure, Result, Success

from jackdawsail.settings.models import (
    BackendSettings,
    CustomerSettings,
    Name,
    Section,
    Settings,
    SiteSettings,
    WeightSettings,
    ZoneSettings,
)
from jackdawsail.state.replica import Record

SHARED_SECTIONS = ('backends', 'customers', 'zones', 'sites', 'weights')
MAX_FAULTS_SHOWN = 50


class SharedDocument(Section):
    """The sections of a settings document that all sites share."""

    backends: dict[Name, BackendSettings] = Field(default={}, max_length=1000)
    customers: dict[Name, CustomerSettings] = Field(default={}, max_length=100_000)
    zones: dict[Name, ZoneSettings] = Field(default={}, max_length=1000)
    sites: dict[Name, SiteSettings] = Field(default={}, max_length=10_000)
    weights: WeightSettings | None = None


def records_from_document(document: dict[str, Any]) -> Result[dict[str, Record], list[str]]:
    """Validates the shared sections and returns their records, or the errors found."""
    try:
        shared = SharedDocument.model_validate(document)
    except ValidationError as error:
        return Failure([_describe_fault(fault) for fault in error.errors()[:MAX_FAULTS_SHOWN]])
    records: dict[str, Record] = {}
    for kind in ('backend', 'customer', 'zone', 'site'):
        section: dict[str, Section] = getattr(shared, f'{kind}s')
        records.update({f'{kind}/{name}': section[name].model_dump() for name in section})
    if shared.weights is not None:
        records['weights/origin'] = _origin_record(shared.weights)
    faults = _undeclared_references(shared)
    return Failure(faults) if faults else Success(records)


def shared_sections(settings: Settings) -> dict[str, Any]:
    """Returns the sections of a settings document that all sites share."""
    document = settings.model_dump(exclude_unset=True)
    return {name: document[name] for name in SHARED_SECTIONS if name in document}


def seed_records(settings: Settings) -> dict[str, Record]:
    """Returns the initial records of an empty state; none if no data centre is declared."""
    shared = shared_sections(settings)
    return records_from_document(shared).value_or({}) if shared.get('zones') else {}


def _origin_record(weights: WeightSettings) -> Record:
    record: Record = weights.model_dump()
    record['url'] = record.pop('origin_url')
    return record


def _undeclared_references(shared: SharedDocument) -> list[str]:
    faults = []
    for name, site in shared.sites.items():
        if site.zone not in shared.zones:
            faults.append(f'sites.{name}.zone: data centre {site.zone} is not declared')
        unknown = [backend for backend in site.backends if backend not in shared.backends]
        faults.extend(f'sites.{name}.backends: {backend} is not declared' for backend in unknown)
    return faults


def _describe_fault(fault: Any) -> str:
    path = '.'.join(str(part) for part in fault['loc'])
    return f'{path}: {fault["msg"]}'
