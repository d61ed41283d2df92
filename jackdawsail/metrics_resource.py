"""Web resource that serves the Prometheus metrics of the process.

Labels have only bounded sets of values, such as back ends, customers, outcomes and problem
codes; never engines, agents or requests.
"""

from twisted.web.resource import Resource
from twisted.web.server import Request

from jackdawsail.metrics_registry import render_metrics


class MetricsResource(Resource):
    """``GET /metrics`` in the Prometheus text format."""

    isLeaf = True  # noqa: N815

    def render_GET(self, request: Request) -> bytes:  # noqa: N802
        """Returns all metrics of the process."""
        request.setHeader('Content-Type', 'text/plain; version=0.0.4')
        return render_metrics()
