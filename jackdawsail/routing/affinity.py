"""Which upstream probably holds a prompt's prefix in its cache: a hint, bounded by load.

The hint is where the last request with the same prefix ran. Cache events come late
and with gaps, so nothing is believed of them: a wrong hint costs one prefill, never
an answer. The hint counts only while its upstream has a free place and is not much
busier than the rest; under full load requests wait at two upstreams as ever.
"""

from collections import OrderedDict

from jackdawsail.routing.choice import Candidate

MAX_PREFIXES = 20_000
MAX_EXTRA_BUSY_SHARE = 0.25


class PrefixAffinity:
    """Remembers where each prefix ran last."""

    def __init__(self) -> None:
        self._places: OrderedDict[tuple[str, str], str] = OrderedDict()

    def record_run(self, backend: str, prefix_digest: str, candidate: str) -> None:
        """Notes where a request with this prefix was sent."""
        if not prefix_digest:
            return
        key = (backend, prefix_digest)
        self._places[key] = candidate
        self._places.move_to_end(key)
        if len(self._places) > MAX_PREFIXES:
            self._places.popitem(last=False)

    def preferred_candidate(
        self, backend: str, prefix_digest: str, candidates: list[Candidate]
    ) -> str:
        """Names the candidate to ask first, empty when there is no good hint."""
        name = self._places.get((backend, prefix_digest), '')
        found = [candidate for candidate in candidates if candidate.name == name]
        if not found:
            return ''
        least = min(candidate.busy_share for candidate in candidates)
        bound = min(1, least + MAX_EXTRA_BUSY_SHARE)
        return name if found[0].busy_share < bound else ''
