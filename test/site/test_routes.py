"""A call is routed by the longest prefix of its host; splits follow their weights."""

import random
from collections import Counter

from hypothesis import given
from hypothesis import strategies as st

from jackdawsail.site.document import Share
from jackdawsail.site.routes import make_route_table, pick_service
from test.site.documents import make_customer, make_document, make_route


def make_table(*prefixes):
    routes = [make_route(prefix, path_prefix=prefix) for prefix in prefixes]
    return make_route_table(make_document(routes=routes))


def test_route_has_the_longest_prefix_of_the_path():
    table = make_table('/', '/a/', '/a/b/')
    assert table.find('a.example', '/a/b/c').name == '/a/b/'
    assert table.find('a.example', '/a/bc').name == '/a/'
    assert table.find('a.example', '/x').name == '/'
    assert table.find('a.example', '/a/b?x=/a/b/').name == '/a/'


def test_unknown_host_or_path_has_no_route():
    table = make_table('/a/')
    assert table.find('b.example', '/a/x') is None
    assert table.find('a.example', '/a') is None


@given(st.lists(st.sampled_from(['/', '/a/', '/a/b/', '/b/', '/a/b/c/']), unique=True), st.data())
def test_lookup_agrees_with_a_search_of_all_prefixes(prefixes, data):
    path = data.draw(st.text('/abc?', max_size=12).map(lambda text: f'/{text}'))
    route = make_table(*prefixes).find('a.example', path)
    plain = path.partition('?')[0]
    matching_prefixes = [prefix for prefix in prefixes if plain.startswith(prefix)]
    assert (route.name if route else '') == max(matching_prefixes, key=len, default='')


def test_keys_identify_their_customers():
    table = make_route_table(make_document(customers=[make_customer('c', 'k1', 'k2')]))
    assert table.customer_of('k2').name == 'c'
    assert table.customer_of('k3') is None
    assert table.needs_key


def test_split_follows_its_weights():
    shares = (Share('a', 90), Share('b', 10), Share('c', 0))
    rng = random.Random(1)
    counts = Counter(pick_service(shares, rng) for _ in range(2000))
    assert counts['c'] == 0
    assert 130 < counts['b'] < 270
