"""Prometheus metrics of a process and the web resource that shows them.

Labels stay bounded: zones, back ends, releases and outcomes only; never an
engine, an agent or a request.
"""

from twisted.web.resource import Resource
from twisted.web.server import Request

from jackdawsail.metrics_registry import render_metrics


class MetricsResource(Resource):
    """``GET /metrics`` in the Prometheus text format."""

    isLeaf = True  # noqa: N815

    def render_GET(self, request: Request) -> bytes:  # noqa: N802
        """Renders every metric of the process."""
        request.setHeader('Content-Type', 'text/plain; version=0.0.4')
        return render_metrics()
