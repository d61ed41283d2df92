"""Metrics of an entry; only these have customer labels, as the configuration bounds customers."""

from prometheus_client import Counter, Histogram

from jackdawsail.metrics_registry import REGISTRY

REQUESTS = Counter(
    'jackdawsail_requests',
    'Requests that have ended, by back end, customer and outcome.',
    ['backend', 'customer', 'outcome'],
    registry=REGISTRY,
)
TOKENS = Counter(
    'jackdawsail_tokens',
    'Generated tokens passed on to callers, by back end and customer.',
    ['backend', 'customer'],
    registry=REGISTRY,
)
LATENCY = Histogram(
    'jackdawsail_request_seconds',
    'Seconds from a request to its first answer byte, by back end and customer.',
    ['backend', 'customer'],
    registry=REGISTRY,
    buckets=(0.05, 0.1, 0.2, 0.4, 0.8, 1.4, 3, 6, 12, 30, 60),
)
PREFIX_HINTS = Counter(
    'jackdawsail_prefix_hints',
    'Requests whose prefix an engine may still hold, by whether it was preferred or why not.',
    ['result'],
    registry=REGISTRY,
)
REFUSED = Counter(
    'jackdawsail_refused',
    'Requests refused before they were admitted, by code.',
    ['code'],
    registry=REGISTRY,
)
