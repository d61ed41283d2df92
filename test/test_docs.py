"""Generated pages are up to date, and links and test names in pages exist."""

import re
from pathlib import Path

import pytest

from bench import capacity
from jackdawsail.events_page import render_page

ROOT = Path(__file__).parent.parent


def test_events_page_is_up_to_date():
    assert (ROOT / 'docs/events.md').read_text('utf8') == render_page()


def test_capacity_tables_are_computed():
    assert capacity.run(check=True) == 0


@pytest.mark.parametrize('page', sorted(ROOT.glob('docs/**/*.md')) + [ROOT / 'README.md'])
def test_relative_links_resolve(page):
    for target in re.findall(r'\]\(([^)#:]+?)(?:#[^)]*)?\)', page.read_text('utf8')):
        assert (page.parent / target).exists(), f'{page.name} points to {target}'


def test_promises_name_existing_tests():
    text = (ROOT / 'docs/promises.md').read_text('utf8')
    tests_named = re.findall(r'`(test/[\w/]+\.py)::(\w+)`', text)
    assert len(tests_named) >= 9
    for path, function in tests_named:
        assert f'def {function}(' in (ROOT / path).read_text('utf8'), f'{path}::{function}'
    scenarios = re.findall(r'`(test/scenarios/[\w]+\.feature)`: "([^"]+)"', text)
    for path, title in scenarios:
        assert f'Scenario: {title}' in (ROOT / path).read_text('utf8'), f'{path}: {title}'
    promises = re.findall(r'^## \d+\. ', text, flags=re.MULTILINE)
    assert len(promises) == 9
