"""The codecs of an entry for the formats of a site."""

from collections.abc import Callable
from dataclasses import dataclass

from jackdawsail.group.calls import CallCodec
from jackdawsail.http1.messages import Headers, HttpAnswerHead, HttpRequest
from jackdawsail.proxy.calls import CallerCall, DispatchDetails, UpstreamHead
from jackdawsail.site.client import DecodeDocument
from jackdawsail.staging.sources import OriginCodec


@dataclass(frozen=True, slots=True)
class TrafficCodec:
    """Decodes and encodes callers' requests and upstreams' answers in the formats of a site."""

    decode_call: Callable[[HttpRequest], CallerCall]
    upstream_headers: Callable[[HttpRequest, DispatchDetails], Headers]
    decode_head: Callable[[HttpAnswerHead], UpstreamHead]
    retry_after: Callable[[float], Headers]


@dataclass(frozen=True, slots=True)
class EntryCodecs:
    """All codecs of an entry for the formats of a site."""

    traffic: TrafficCodec
    calls: CallCodec
    decode_document: DecodeDocument
    origin: OriginCodec
