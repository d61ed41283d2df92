"""Messages from a tracker to the control leader about a release itself."""

from jackdawsail.wire.codec import message


@message('manifest-report')
class ManifestReport:
    """The manifest that the first verified reader of a release has made.

    Sent for a release without chunk digests; the first one is accepted, when
    ``digest`` is the declared digest of the whole.
    """

    release: str
    chunk_bytes: int
    digest: str
    chunk_digests: list[str]


@message('release-problem')
class ReleaseProblem:
    """The release cannot be completed anywhere, for instance its origin has changed."""

    release: str
    reason: str
