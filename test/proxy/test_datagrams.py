"""Entries send each other which calls they refused."""

from types import SimpleNamespace

from twisted.internet.task import Clock

from jackdawsail.proxy.context import ProxyContext
from jackdawsail.proxy.datagrams import DatagramListener, EntryDatagrams
from jackdawsail.routing.upstreams import UpstreamTable
from jackdawsail.site.node import NodeSettings
from jackdawsail.site.view import SiteView
from jackdawsail.wire.codec import encode
from jackdawsail.wire.site_messages import MemberHost, Members, RefusedCallsReported

ADDRESSES = ('10.0.0.1', '10.0.0.2', '10.0.0.3')


class Network:
    """Delivers datagrams between the entries of a test synchronously."""

    def __init__(self):
        self.listeners = {}
        self.sent = 0

    def listenUDP(self, port, listener, address):
        self.listeners[address] = listener
        return self

    def write(self, datagram, peer):
        self.sent += 1
        self.listeners[peer[0]].datagramReceived(datagram, peer)


def make_entry(network, address):
    view = SiteView()
    view.apply_members('c', Members(['c'], [MemberHost(host, 'z', 'r') for host in ADDRESSES], []))
    settings = NodeSettings('e', address, 'z', 'r', link_port=7700)
    context = ProxyContext(Clock(), settings, None, view, UpstreamTable(1.2), None, None)
    datagrams = EntryDatagrams(context)
    datagrams.listen(network)
    return datagrams


def test_a_refusal_is_sent_to_every_other_entry_once():
    network = Network()
    first, *others = [make_entry(network, address) for address in ADDRESSES]
    first.context.refused_calls.record_local(b'fingerpr', 0.0)
    first.send_pending()
    first.send_pending()
    assert network.sent == 2
    for other in others:
        assert other.context.refused_calls.seconds_since_refusal(b'fingerpr', 1.0) == 1.0
        other.send_pending()
    assert network.sent == 2


def test_without_refusals_nothing_is_sent_and_many_are_split_into_several_datagrams():
    network = Network()
    first = [make_entry(network, address) for address in ADDRESSES][0]
    first.send_pending()
    assert network.sent == 0
    for number in range(250):
        first.context.refused_calls.record_local(number.to_bytes(8, 'big'), 0.0)
    first.send_pending()
    assert network.sent == 3 * 2


def test_an_undecodable_or_unexpected_datagram_is_dropped():
    handled = []
    listener = DatagramListener({SimpleNamespace: handled.append})
    for datagram in (b'', b'\xff\xff', encode(RefusedCallsReported([b'x']))):
        listener.datagramReceived(datagram, ('1.2.3.4', 1))
    assert handled == []
