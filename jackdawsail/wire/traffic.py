"""Counts the messages and bytes on the links of a process, by message tag.

The set of tags is fixed, which bounds the number of label values.
"""

from functools import cache
from typing import Any

from prometheus_client import Counter

from jackdawsail.metrics_registry import REGISTRY
from jackdawsail.wire.codec import tag_of

_BYTES = Counter(
    'jackdawsail_link_bytes',
    'Bytes of message frames over links, by direction and message.',
    ('direction', 'message'),
    registry=REGISTRY,
)
_MESSAGES = Counter(
    'jackdawsail_link_messages',
    'Message frames over links, by direction and message.',
    ('direction', 'message'),
    registry=REGISTRY,
)


def count_sent(message_type: type, size_bytes: int) -> None:
    """Counts one frame that is queued for sending."""
    _count('sent', message_type, size_bytes)


def count_received(message_type: type, size_bytes: int) -> None:
    """Counts one frame that was received and decoded."""
    _count('received', message_type, size_bytes)


def _count(direction: str, message_type: type, size_bytes: int) -> None:
    byte_counter, message_counter = _counters(direction, message_type)
    byte_counter.inc(size_bytes)
    message_counter.inc()


@cache
def _counters(direction: str, message_type: type) -> tuple[Any, Any]:
    tag = tag_of(message_type)
    return _BYTES.labels(direction, tag), _MESSAGES.labels(direction, tag)
