"""The pages that are made from the code say what the code says."""

import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent


@pytest.mark.parametrize('page', sorted(ROOT.glob('docs/**/*.md')) + [ROOT / 'README.md'])
def test_links_between_pages_lead_somewhere(page):
    for target in re.findall(r'\]\(([^)#:]+?)(?:#[^)]*)?\)', page.read_text('utf8')):
        assert (page.parent / target).exists(), f'{page.name} points to {target}'
