"""Messages from a tracker to the control leader about the content of a release."""

from jackdawsail.wire.codec import message


@message('manifest-report')
class ManifestReport:
    """The manifest that a tracker built by reading a whole release once from the origin.

    Sent for a release without chunk digests. The leader accepts the first manifest
    whose ``digest`` equals the declared digest of the whole release.
    """

    release: str
    chunk_bytes: int
    digest: str
    chunk_digests: list[str]


@message('release-problem')
class ReleaseProblem:
    """Reports that no host can complete the release, for example if its origin has changed."""

    release: str
    reason: str
