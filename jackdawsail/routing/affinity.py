"""Prefix affinity: a hint at the upstream that probably has a prompt's prefix in its cache.

The hint is the candidate that the last request with the same prefix was sent to. It is
not taken from the engines' cache events, as they arrive late and with gaps. A wrong hint
costs one prefill; it fails no request. The hint is used only while its upstream has a
free slot and is not much busier than the others; under full load a request reserves at
two candidates as without a hint.
"""

from collections import OrderedDict

from jackdawsail.routing.choice import Candidate

MAX_PREFIXES = 20_000
MAX_EXTRA_BUSY_SHARE = 0.25  # above the least busy candidate


class PrefixAffinity:
    """Maps each back end and prefix to the candidate that last ran it, up to MAX_PREFIXES."""

    def __init__(self) -> None:
        self._last_candidates: OrderedDict[tuple[str, str], str] = OrderedDict()

    def record_run(self, backend: str, prefix_digest: str, candidate: str) -> None:
        """Records the candidate that a request with this prefix was sent to."""
        if not prefix_digest:
            return
        key = (backend, prefix_digest)
        self._last_candidates[key] = candidate
        self._last_candidates.move_to_end(key)
        if len(self._last_candidates) > MAX_PREFIXES:
            self._last_candidates.popitem(last=False)

    def preferred_candidate(
        self, backend: str, prefix_digest: str, candidates: list[Candidate]
    ) -> str:
        """Returns the name of the candidate with the prefix, empty without a usable hint."""
        name = self._last_candidates.get((backend, prefix_digest), '')
        hinted = [candidate for candidate in candidates if candidate.name == name]
        if not hinted:
            return ''
        least_busy_share = min(candidate.busy_share for candidate in candidates)
        max_busy_share = min(1, least_busy_share + MAX_EXTRA_BUSY_SHARE)
        return name if hinted[0].busy_share < max_busy_share else ''
