"""An entry is offered to callers once it may use its part of the limits."""

from types import SimpleNamespace

from twisted.internet.task import Clock

from jackdawsail.proxy.program import make_entry_program
from jackdawsail.routing.sends import COLD_WINDOW_SECONDS
from jackdawsail.site.node import NodeSettings
from jackdawsail.site.process import NodeProcess
from jackdawsail.wire.identity import Role
from jackdawsail.wire.site_messages import EntryStatus, MemberHost, SiteSummary
from test.group.test_call_handler import Link
from test.proxy.world import CODEC
from test.site.documents import make_document

OWN = MemberHost('10.0.0.5', 'z', 'r')
OTHER = MemberHost('10.0.0.6', 'z', 'r')


class Entry:
    """An entry program with one link to a control host, which started at second 0."""

    def __init__(self):
        self.clock = Clock()
        settings = NodeSettings('e', OWN.address, 'z', 'r')
        process = NodeProcess(self.clock, settings, Role.entry, started_seconds=0)
        codecs = SimpleNamespace(traffic=CODEC, calls=None, decode_document=None, origin=None)
        program = make_entry_program(process, codecs)
        self.view = program.context.view
        self.view.on_change.append(program._site_changed)
        self.link = Link(Role.control)
        program.client.router.links[self.link] = None
        self.revision = 0

    def list_entries(self, *entries):
        self.revision += 1
        self.view.apply_sharing_entries(SiteSummary(self.revision, 0, [], [], list(entries)))

    def accepts(self):
        return self.link.sent_of(EntryStatus)[-1].accepts


def test_a_restarted_entry_is_offered_a_window_after_its_start():
    entry = Entry()
    entry.clock.advance(0.5)
    entry.list_entries(OWN, OTHER)
    entry.view.apply_document(make_document())
    assert not entry.accepts()
    entry.clock.advance(COLD_WINDOW_SECONDS - 0.5)
    assert entry.accepts()


def test_a_new_entry_is_offered_a_window_after_it_was_listed():
    entry = Entry()
    entry.list_entries(OTHER)
    entry.view.apply_document(make_document())
    entry.clock.advance(5)
    assert not entry.accepts()
    entry.list_entries(OWN, OTHER)
    entry.clock.advance(COLD_WINDOW_SECONDS / 2)
    assert not entry.accepts()
    entry.clock.advance(COLD_WINDOW_SECONDS / 2)
    assert entry.accepts()


def test_changes_before_the_entry_is_offered_do_not_multiply_its_status_messages():
    entry = Entry()
    entry.list_entries(OWN, OTHER)
    for version in range(1, 6):
        entry.view.apply_document(make_document(version))
    sent = len(entry.link.sent_of(EntryStatus))
    entry.clock.advance(COLD_WINDOW_SECONDS)
    assert len(entry.link.sent_of(EntryStatus)) == sent + 1
