"""Simulates days of heavy load on a site, using the product's own decision code.

Engines, plain services, callers and links are seeded models in simulated time. The
code that selects an upstream, refuses calls, limits calls to cold engines and
schedules changeovers is the code that the programs run. A day takes seconds to
simulate, so policies can be compared over many seeds before one is measured with
real processes.
"""
