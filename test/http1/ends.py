"""A transport in memory for tests of HTTP connections."""

from twisted.internet.testing import StringTransport


class Transport(StringTransport):
    """A transport that records an abort and a close."""

    aborted = False
    closed = False

    def setTcpNoDelay(self, enabled):
        pass

    def registerProducer(self, producer, streaming):
        pass

    def abortConnection(self):
        self.aborted = True

    def loseConnection(self):
        self.closed = True

    def take_written(self):
        written = self.value()
        self.clear()
        return written
