"""Metrics of the proxy; every label has a few fixed values."""

from prometheus_client import Counter, Gauge, Histogram

from jackdawsail.metrics_registry import REGISTRY

CALLS = Counter(
    'jackdawsail_proxy_calls',
    'Calls that have ended, by outcome.',
    ['outcome'],
    registry=REGISTRY,
)
DISPATCHES = Counter(
    'jackdawsail_proxy_handovers',
    'Calls handed to an upstream, first sends and repeats.',
    ['kind'],
    registry=REGISTRY,
)
FIRST_SECONDS = Histogram(
    'jackdawsail_proxy_first_seconds',
    'Seconds from a call to the first byte of its answer.',
    registry=REGISTRY,
    buckets=(0.03, 0.06, 0.1, 0.2, 0.3, 0.4, 0.6, 1, 2, 4, 8),
)
ANSWERS = Counter(
    'jackdawsail_proxy_answers',
    'Answers of upstreams whose head was received, by what tells their end and how they ended.',
    ['framing', 'end'],
    registry=REGISTRY,
)
RUNNING = Gauge('jackdawsail_proxy_running', 'Calls that are being served.', registry=REGISTRY)
WITHHELD = Counter(
    'jackdawsail_proxy_withheld',
    'Upstreams left out of a choice because a limit on their calls is used up, by limit.',
    ['limit'],
    registry=REGISTRY,
)
SLOW_DISPATCHES = Counter(
    'jackdawsail_proxy_slow_dispatches',
    'Calls dispatched to engines that report a slow pace.',
    registry=REGISTRY,
)
CHANNELS = Gauge(
    'jackdawsail_proxy_channels',
    'Channels to all upstreams, by state: connecting, used, idle.',
    ['state'],
    registry=REGISTRY,
)
CHANNELS_RESET = Counter(
    'jackdawsail_proxy_channels_reset',
    'Channels that an upstream of a service with a limit has reset right after they were opened.',
    registry=REGISTRY,
)
CHANNELS_REPLACED = Counter(
    'jackdawsail_proxy_channels_replaced',
    'Idle channels closed to make way for new ones within the part of this entry.',
    registry=REGISTRY,
)
PREFIX_HINTS = Counter(
    'jackdawsail_proxy_prefix_hints',
    'Calls whose prefix an engine may still hold, by whether that decided the choice or why not.',
    ['result'],
    registry=REGISTRY,
)
SUSPECT_CALLS = Counter(
    'jackdawsail_proxy_suspect_calls',
    'Calls at engines that ended while their answers were waited for or had just begun.',
    registry=REGISTRY,
)
BLOCKED_TRAITS = Gauge(
    'jackdawsail_proxy_blocked_traits',
    'Parts of prompts and requests whose calls are refused, as they crash engines.',
    registry=REGISTRY,
)
BLOCKED_CALLS = Counter(
    'jackdawsail_proxy_blocked_calls',
    'Calls that were not sent to an upstream because a part of their prompt, or the request, is blocked.',
    registry=REGISTRY,
)
ENTRIES = Gauge(
    'jackdawsail_proxy_entries',
    'Entries among which this entry divides the limits on sums over all entries.',
    registry=REGISTRY,
)
ABORTS = Counter(
    'jackdawsail_proxy_aborts',
    'Answers that had begun and whose connections were aborted, by reason and by why an engine was left before.',
    ['reason', 'left'],
    registry=REGISTRY,
)
ABORT_AGE_SECONDS = Histogram(
    'jackdawsail_proxy_abort_age_seconds',
    'Seconds from the last site document, stop or silent engine to an aborted answer.',
    ['since'],
    registry=REGISTRY,
    buckets=(0.25, 0.5, 1, 2, 3, 4, 6, 10, 30),
)
OVERDUE_ANSWERS = Counter(
    'jackdawsail_proxy_overdue_answers',
    'Answers that began on weights whose time limit had passed.',
    registry=REGISTRY,
)
RANKED_CALLS = Counter(
    'jackdawsail_proxy_ranked_calls',
    'New calls of services whose calls differ in rank, by urgency class and outcome.',
    ['urgency', 'outcome'],
    registry=REGISTRY,
)
RANK_SHARE = Gauge(
    'jackdawsail_proxy_rank_share',
    'Share of the demand of an urgency class that this entry admits now, 1 without scarcity.',
    ['service', 'urgency'],
    registry=REGISTRY,
)
