"""A site document that is cut off, too long or no document at all changes nothing."""

import zlib
from types import SimpleNamespace

import pytest
from returns.result import Success
from twisted.internet.task import Clock

from jackdawsail.site import client as client_module
from jackdawsail.site.client import SiteClient
from jackdawsail.site.view import SiteView
from jackdawsail.wire.site_messages import DocumentPushed
from test.site.documents import make_document

COMPRESSED = zlib.compress(b'{}' * 1000)


def receive(compressed):
    process = SimpleNamespace(reactor=Clock())
    view, decoded = SiteView(), []

    def decode(body):
        decoded.append(body)
        return Success(make_document())

    site_client = SiteClient(process, view, decode)
    link = SimpleNamespace(peer=SimpleNamespace(name='control-1'))
    site_client._on_document(link, DocumentPushed(1, 1, compressed))
    return view, decoded


def test_whole_document_is_applied():
    view, decoded = receive(COMPRESSED)
    assert decoded == [b'{}' * 1000]
    assert view.table is not None


@pytest.mark.parametrize('compressed', [COMPRESSED[:-1], COMPRESSED[:5], b'', b'no document'])
def test_document_that_is_cut_off_is_not_decoded(compressed):
    view, decoded = receive(compressed)
    assert decoded == []
    assert view.table is None


def test_document_that_is_too_long_is_not_decoded(monkeypatch):
    monkeypatch.setattr(client_module, 'MAX_DOCUMENT_BYTES', 1999)
    view, decoded = receive(COMPRESSED)
    assert decoded == []
    assert view.table is None
